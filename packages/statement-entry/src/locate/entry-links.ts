/** Links to other entries: opened on first use, kept until no assignment names their address. */
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
  /** Reports an entry that may have ended: its link was closed or its address refuses connections. */
  readonly reportSuspect: (incarnation: Incarnation, linkAddress: string) => void;
}

export interface EntryLinks {
  /** Returns the open link to another entry; if there is none, connects and returns `undefined`. */
  readonly linkTo: (linkAddress: string) => LinkPeer | undefined;
  /** Closes links to addresses that no assignment names. */
  readonly prune: () => void;
  readonly close: () => void;
}

const RECONNECT_MAX_MS = 400;

/**
 * Pings and silence checks of links between entries. Hundreds of them carry nothing most of the time, and a holder has
 * one to each entry, so pings are rarer than the link defaults.
 */
export const ENTRY_LINK_TIMING = { ...DEFAULT_LINK_TIMING, pingEveryMs: 900 };

export function createEntryLinks(options: EntryLinksOptions): EntryLinks {
  const links = new Map<string, LinkClient>();
  return { linkTo, prune, close };

  function linkTo(linkAddress: string): LinkPeer | undefined {
    const existing = links.get(linkAddress);
    if (existing) return existing.current();
    const timing = { ...ENTRY_LINK_TIMING, ...DEFAULT_RECONNECT };
    const client = maintainLink(
      linkAddress,
      { secret: options.linkSecret, ...timing, reconnectMaxMs: RECONNECT_MAX_MS },
      {
        onRequest: () => undefined,
        onNotify: options.onNotify,
        onOpen: options.onLinkOpen,
        onClose: () => {
          options.onLinkLost(linkAddress);
          reportSuspectsAt(linkAddress);
        },
        onConnectFailed: (failure) => {
          if (failure === 'refused') reportSuspectsAt(linkAddress);
        },
      },
    );
    links.set(linkAddress, client);
    return undefined;
  }

  function reportSuspectsAt(linkAddress: string): void {
    const incarnations = listAssignments(options)
      .filter((assignment) => assignment.linkAddress === linkAddress)
      .map(({ incarnation }) => incarnation);
    for (const incarnation of new Set(incarnations))
      options.reportSuspect(incarnation, linkAddress);
  }

  function prune(): void {
    const assignedAddresses = new Set(
      listAssignments(options).map(({ linkAddress }) => linkAddress),
    );
    for (const [address, link] of links) {
      if (assignedAddresses.has(address)) continue;
      link.stop();
      links.delete(address);
    }
  }

  function close(): void {
    for (const link of links.values()) link.stop();
  }
}
