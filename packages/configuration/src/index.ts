/** The questionnaire, the settings generated from it, and the active configuration. */
export type * from './types';
export { default as applyChange } from './applyChange';
export { default as checkQuestionnaire } from './checkQuestionnaire';
export { default as createConfigurationReplica } from './createConfigurationReplica';
export { default as createConfigurationTask } from './createConfigurationTask';
export { default as diffSettings } from './diffSettings';
export { default as formatDiagnostics } from './formatDiagnostics';
export { default as isLoopbackAddress } from './isLoopbackAddress';
export { default as parseAcceptedConfiguration } from './parseAcceptedConfiguration';
export { default as parseDeploymentSettings } from './parseDeploymentSettings';
export { default as parseEntryHostSettings } from './parseEntryHostSettings';
export { default as configurationLocation } from './changes/configurationLocation';
export { default as summarisePropagation } from './summarisePropagation';
