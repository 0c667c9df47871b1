/** Opens links to other processes and reconnects when they close. */
import { createConnection, type Socket } from 'node:net';
import { splitAddress } from '@bramleykeel/core';
import { type LinkHandlers, type LinkOptions, type LinkPeer, runLink } from './link-peer.js';

/** Why a connection attempt failed; `silent` means that it timed out. */
export type LinkConnectFailure = 'refused' | 'silent' | 'failed';

export interface LinkClient {
  /** The open link, or `undefined` while there is none. */
  readonly current: () => LinkPeer | undefined;
  readonly stop: () => void;
}

export interface LinkClientOptions extends LinkOptions {
  readonly connectTimeoutMs: number;
  readonly reconnectMinMs: number;
  readonly reconnectMaxMs: number;
}

export const DEFAULT_RECONNECT = {
  connectTimeoutMs: 1_000,
  reconnectMinMs: 50,
  reconnectMaxMs: 1_000,
} as const;

export interface LinkClientHandlers extends LinkHandlers {
  readonly onConnectFailed?: (failure: LinkConnectFailure) => void;
}

/**
 * Connects to `address` and reconnects with exponential backoff until stopped.
 *
 * @example
 * const client = maintainLink('127.0.0.1:7001', options, handlers);
 */
export function maintainLink(
  address: string,
  options: LinkClientOptions,
  handlers: LinkClientHandlers,
): LinkClient {
  const { host, port } = splitAddress(address);
  let connecting: Socket | undefined;
  let peer: LinkPeer | undefined;
  let openPeer: LinkPeer | undefined;
  let isStopped = false;
  let delayMs = options.reconnectMinMs;
  let timer: NodeJS.Timeout | undefined;
  const linkHandlers: LinkHandlers = {
    ...handlers,
    onOpen: (opened) => {
      openPeer = opened;
      delayMs = options.reconnectMinMs;
      handlers.onOpen?.(opened);
    },
    onClose: (closed, reason) => {
      if (openPeer === closed) openPeer = undefined;
      handlers.onClose?.(closed, reason);
      scheduleReconnect();
    },
  };
  connect();
  return { current: () => openPeer, stop };

  function connect(): void {
    const socket = createConnection({ host, port });
    connecting = socket;
    let isConnected = false;
    const connectTimer = setTimeout(() => {
      socket.destroy();
      if (isStopped) return;
      handlers.onConnectFailed?.('silent');
      scheduleReconnect();
    }, options.connectTimeoutMs);
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (isConnected) return;
      clearTimeout(connectTimer);
      handlers.onConnectFailed?.(error.code === 'ECONNREFUSED' ? 'refused' : 'failed');
      scheduleReconnect();
    });
    socket.once('connect', () => {
      isConnected = true;
      connecting = undefined;
      clearTimeout(connectTimer);
      peer = runLink(socket, 'client', options, linkHandlers);
    });
  }

  function scheduleReconnect(): void {
    if (isStopped) return;
    clearTimeout(timer);
    timer = setTimeout(connect, delayMs);
    delayMs = Math.min(delayMs * 2, options.reconnectMaxMs);
  }

  function stop(): void {
    isStopped = true;
    clearTimeout(timer);
    connecting?.destroy();
    peer?.close('link is no longer needed');
  }
}
