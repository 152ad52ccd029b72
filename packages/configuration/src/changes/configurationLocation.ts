/** Kind and name of the configuration object in the platform's store. */
const configurationLocation = { objectKind: 'configuration', name: 'current' } as const;

export default configurationLocation;
