/** The functions behind `bramleykeelctl`, as a library. */
export * from './control-call.js';
export * from './settings-commands.js';
export * from './trace.js';
