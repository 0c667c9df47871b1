/** Links to other entries, opened when they are needed and kept. */
import { type Incarnation, listAssignments, type StoredRecord } from '@bramleykeel/core';
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  maintainLink,
  type LinkClient,
  type LinkPeer,
} from '@bramleykeel/link';

export interface EntryLinksOptions {
  readonly linkSecret: string;
  readonly records: ReadonlyMap<string, StoredRecord>;
  readonly onNotify: (peer: LinkPeer, method: string, params: unknown) => void;
  readonly onLinkLost: (linkAddress: string) => void;
  readonly onLinkOpen: () => void;
  readonly reportSuspect: (incarnation: Incarnation, linkAddress: string) => void;
}

export interface EntryLinks {
  /** The open link to another entry, or `undefined` while there is none. */
  readonly linkTo: (linkAddress: string) => LinkPeer | undefined;
  /** Closes links to addresses that no assignment names any more. */
  readonly prune: () => void;
  readonly close: () => void;
}

const RECONNECT_MAX_MS = 400;

export function createEntryLinks(options: EntryLinksOptions): EntryLinks {
  const links = new Map<string, LinkClient>();
  return { linkTo, prune, close };

  function linkTo(linkAddress: string): LinkPeer | undefined {
    const known = links.get(linkAddress);
    if (known) return known.current();
    const timing = { ...DEFAULT_LINK_TIMING, ...DEFAULT_RECONNECT };
    const client = maintainLink(
      linkAddress,
      { secret: options.linkSecret, ...timing, reconnectMaxMs: RECONNECT_MAX_MS },
      {
        onRequest: () => undefined,
        onNotify: options.onNotify,
        onOpen: options.onLinkOpen,
        onClose: () => {
          options.onLinkLost(linkAddress);
          suspectHolders(linkAddress);
        },
        onConnectFailed: (failure) => {
          if (failure === 'refused') suspectHolders(linkAddress);
        },
      },
    );
    links.set(linkAddress, client);
    return undefined;
  }

  function suspectHolders(linkAddress: string): void {
    const holders = listAssignments(options)
      .filter((assignment) => assignment.linkAddress === linkAddress)
      .map(({ incarnation }) => incarnation);
    for (const incarnation of new Set(holders)) options.reportSuspect(incarnation, linkAddress);
  }

  function prune(): void {
    const needed = new Set(listAssignments(options).map(({ linkAddress }) => linkAddress));
    for (const [address, link] of links) {
      if (needed.has(address)) continue;
      link.stop();
      links.delete(address);
    }
  }

  function close(): void {
    for (const link of links.values()) link.stop();
  }
}
