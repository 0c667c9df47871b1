/** What every kind of entry shares: its view of control, and the admission by rates. */
export * from './control/control-client.js';
export * from './admit/rate-client.js';
export * from './admit/rate-draw.js';
export * from './admit/rate-home.js';
