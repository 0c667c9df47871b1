/** Small fakes at the interfaces, for development and tests. */
export * from './stand-in/stand-in-server.js';
export * from './stand-in/http-json.js';
export type { StandInLogEntry } from './stand-in/storage.js';
export * from './tcp-relay.js';
export * from './free-address.js';
