/** Where the configuration lies in the platform's store. */
const storedConfiguration = { objectKind: 'configuration', name: 'current' } as const;

export default storedConfiguration;
