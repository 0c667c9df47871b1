/** Ports through which caller sessions reach a group's owner, in this process or over a link. */
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
  /** Sends a message. Returns `false` if it was not sent; the owner then never receives it. */
  readonly send: (message: ToOwnerMessage) => boolean;
}

/** Locates owners and queries them for the status of requests. */
export interface OwnerLocator {
  /** Returns the open port to the group's current owner, if there is one. */
  readonly findOwner: (group: GroupName) => OwnerPort | undefined;
  /** Waits up to `timeoutMs` for an owner; resolves with `undefined` if there is none by then. */
  readonly awaitOwner: (group: GroupName, timeoutMs: number) => Promise<OwnerPort | undefined>;
  /** Queries the owner for whether a request has started, after its port was lost. */
  readonly queryRequestStatus: (
    lostPort: OwnerPort,
    query: RequestStatusQuery,
  ) => Promise<RequestStatus>;
}
