/** The control member: replicated settings, leases and assignments. */
export * from './control-daemon.js';
export * from './announcement-relay.js';
export * from './control-member.js';
export type { DocumentPutAnswer, DocumentReadAnswer } from './document-calls.js';
export type {
  EvacuationChange,
  EvacuationChangeAnswer,
  EvacuationIndexAnswer,
  EvacuationListAnswer,
} from './evacuation-calls.js';
export * from './storage/control-storage.js';
export * from './storage/record-file.js';
export * from './storage/disk-errors.js';
