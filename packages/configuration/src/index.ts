/** The questionnaire, the settings generated from it, and the configuration in force. */
export type * from './types';
export { default as checkQuestionnaire } from './checkQuestionnaire';
export { default as formatDiagnostics } from './formatDiagnostics';
export { default as isLoopbackAddress } from './isLoopbackAddress';
export { default as parseAddress } from './parseAddress';
export { default as parseDeploymentSettings } from './parseDeploymentSettings';
export { default as parseEntryHostSettings } from './parseEntryHostSettings';
