/** Open links to all known control members, so that requests reach a new leader without connecting first. */
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  maintainLink,
  type LinkClient,
  type LinkHandlers,
  type LinkPeer,
} from '@bramleykeel/link';

export interface ControlLinks {
  /** Opens links to the given addresses and closes all others. */
  readonly setMembers: (addresses: readonly string[]) => void;
  /** Returns the open link to a member, or `undefined` while there is none. */
  readonly peerAt: (address: string) => LinkPeer | undefined;
  readonly openPeers: () => LinkPeer[];
  readonly close: () => void;
}

/**
 * Pings and silence checks of links that carry nothing else. They are slower than the link defaults, because a
 * suspended member is noticed through failed renewals first.
 */
const CONTROL_LINK_TIMING = { ...DEFAULT_LINK_TIMING, pingEveryMs: 800, silentAfterMs: 2_500 };
const CONTROL_RECONNECT = { ...DEFAULT_RECONNECT, reconnectMaxMs: 500 };

export function createControlLinks(secret: string, handlers: LinkHandlers): ControlLinks {
  const links = new Map<string, LinkClient>();
  return {
    setMembers: (addresses) => {
      for (const [address, link] of links) {
        if (addresses.includes(address)) continue;
        link.stop();
        links.delete(address);
      }
      for (const address of addresses) {
        if (links.has(address)) continue;
        const options = { secret, ...CONTROL_LINK_TIMING, ...CONTROL_RECONNECT };
        links.set(address, maintainLink(address, options, handlers));
      }
    },
    peerAt: (address) => links.get(address)?.current(),
    openPeers: () => [...links.values()].map((link) => link.current()).filter((peer) => !!peer),
    close: () => {
      for (const link of links.values()) link.stop();
    },
  };
}
