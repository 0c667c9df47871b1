/** Links to every control member that is known, so that a new leader is found without connecting first. */
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  keepLink,
  type LinkClient,
  type LinkHandlers,
  type LinkPeer,
} from '@bramleykeel/link';

export interface ControlLinks {
  /** Opens links to the given members and closes all others. */
  readonly keep: (addresses: readonly string[]) => void;
  readonly peerAt: (address: string) => LinkPeer | undefined;
  /** All open links. */
  readonly openPeers: () => LinkPeer[];
  readonly close: () => void;
}

/** Links that carry nothing else are pinged this often: a frozen member shows in renewals first. */
const CONTROL_LINK_TIMING = { ...DEFAULT_LINK_TIMING, pingEveryMs: 800, silentAfterMs: 2_500 };
const CONTROL_RECONNECT = { ...DEFAULT_RECONNECT, reconnectMaxMs: 500 };

export function createControlLinks(secret: string, handlers: LinkHandlers): ControlLinks {
  const links = new Map<string, LinkClient>();
  return {
    keep: (addresses) => {
      for (const [address, link] of links) {
        if (addresses.includes(address)) continue;
        link.stop();
        links.delete(address);
      }
      for (const address of addresses) {
        if (links.has(address)) continue;
        const options = { secret, ...CONTROL_LINK_TIMING, ...CONTROL_RECONNECT };
        links.set(address, keepLink(address, options, handlers));
      }
    },
    peerAt: (address) => links.get(address)?.current(),
    openPeers: () => [...links.values()].map((link) => link.current()).filter((peer) => !!peer),
    close: () => {
      for (const link of links.values()) link.stop();
    },
  };
}
