/** The way from a caller's session to the owner of its group, in this process or over a link. */
import type {
  RequestStatusQuery,
  GroupName,
  RequestStatus,
  ToOwnerMessage,
} from '@bramleykeel/core';

export interface OwnerPort {
  readonly group: GroupName;
  readonly epoch: number;
  readonly isLocal: boolean;
  readonly isOpen: () => boolean;
  /** Returns whether the message was handed on; if not, the owner has not got it. */
  readonly send: (message: ToOwnerMessage) => boolean;
}

/** Finds owners and asks them about the past. */
export interface OwnerLocator {
  /** The open port to the group's present owner, if there is one now. */
  readonly find: (group: GroupName) => OwnerPort | undefined;
  /** Waits for an owner, `timeoutMs` at most. */
  readonly await: (group: GroupName, timeoutMs: number) => Promise<OwnerPort | undefined>;
  /** Asks what became of a request after its port was lost. */
  readonly askFate: (lost: OwnerPort, query: RequestStatusQuery) => Promise<RequestStatus>;
}
