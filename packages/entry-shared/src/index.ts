/** Code shared by all kinds of entry: the control client and the admission of requests by rate. */
export * from './control/control-client.js';
export type * from './control/control-client-types.js';
export * from './admit/rate-client.js';
export * from './admit/rate-draw.js';
export * from './admit/rate-home.js';
