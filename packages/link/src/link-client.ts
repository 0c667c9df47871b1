/** Opens links to other processes and reconnects when they close. */
import { createConnection, type Socket } from 'node:net';
import { splitAddress } from '@bramleykeel/core';
import { type LinkHandlers, type LinkOptions, type LinkPeer, runLink } from './link-peer.js';
import {
  type LinkConnectFailure,
  nextConnectTimeoutMs,
  nextReconnectDelayMs,
  type ReconnectTiming,
} from './reconnect-delay.js';

export interface LinkClient {
  /** The open link, or `undefined` while there is none. */
  readonly current: () => LinkPeer | undefined;
  readonly stop: () => void;
}

export interface LinkClientOptions extends LinkOptions, ReconnectTiming {
  readonly connectTimeoutMs: number;
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
 * Connects to `address` and reconnects with a growing delay (see {@link nextReconnectDelayMs}) until stopped.
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
  let delayMs = 0;
  let failingSinceMs = performance.now();
  let timer: NodeJS.Timeout | undefined;
  const linkHandlers: LinkHandlers = {
    ...handlers,
    onOpen: (opened) => {
      openPeer = opened;
      delayMs = 0;
      handlers.onOpen?.(opened);
    },
    onClose: (closed, reason) => {
      if (openPeer === closed) {
        openPeer = undefined;
        failingSinceMs = performance.now();
      }
      handlers.onClose?.(closed, reason);
      scheduleReconnect('failed');
    },
  };
  connect();
  return { current: () => openPeer, stop };

  function connect(): void {
    const socket = createConnection({ host, port });
    connecting = socket;
    let isConnected = false;
    const failingForMs = performance.now() - failingSinceMs;
    const timeoutMs = nextConnectTimeoutMs(options.connectTimeoutMs, failingForMs);
    const connectTimer = setTimeout(() => {
      socket.destroy();
      if (isStopped) return;
      handlers.onConnectFailed?.('silent');
      scheduleReconnect('silent');
    }, timeoutMs);
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (isConnected) return;
      clearTimeout(connectTimer);
      const failure = error.code === 'ECONNREFUSED' ? 'refused' : 'failed';
      handlers.onConnectFailed?.(failure);
      scheduleReconnect(failure);
    });
    socket.once('connect', () => {
      isConnected = true;
      connecting = undefined;
      clearTimeout(connectTimer);
      peer = runLink(socket, 'client', options, linkHandlers);
    });
  }

  function scheduleReconnect(failure: LinkConnectFailure): void {
    if (isStopped) return;
    clearTimeout(timer);
    const failingForMs = performance.now() - failingSinceMs;
    delayMs = nextReconnectDelayMs(options, { failure, failingForMs, previousDelayMs: delayMs });
    timer = setTimeout(connect, delayMs);
  }

  function stop(): void {
    isStopped = true;
    clearTimeout(timer);
    connecting?.destroy();
    peer?.close('link is no longer needed');
  }
}
