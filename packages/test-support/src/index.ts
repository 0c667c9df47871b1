/**
 * Test doubles for external interfaces: a stand-in database server, a TCP relay and HTTP helpers.
 */
export * from './stand-in/stand-in-server.js';
export * from './stand-in/http-json.js';
export type { StandInLogEntry } from './stand-in/storage.js';
export * from './tcp-relay.js';
export * from './scripted-server.js';
export * from './free-address.js';
