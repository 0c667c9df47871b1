/** Links between the processes of the system, metrics and logging. */
export * from './frame-codec.js';
export * from './link-peer.js';
export * from './link-server.js';
export * from './link-client.js';
export * from './reconnect-delay.js';
export * from './probe-address.js';
export * from './json-body.js';
export * from './write-batch.js';
export * from './packed-value.js';
export * from './counters.js';
export * from './logger.js';
export * from './suspension-detector.js';
export * from './input-deadline.js';
export * from './metrics-server.js';
export type { LogFields } from './log-writer.js';
export * from './unexpected-errors.js';
