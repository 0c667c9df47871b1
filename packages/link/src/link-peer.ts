/** One authenticated link between two processes of the system: requests, replies and events. */
import type { Socket } from 'node:net';
import { type Either, Left, Right } from 'purify-ts';
import {
  createFrameDecoder,
  decodeFrames,
  encodeFrame,
  isFrameAllowed,
  MAX_FRAME_BYTES,
} from './frame-codec.js';
import { setSharedInterval } from './shared-interval.js';
import { writeBatched } from './write-batch.js';
import { createNonce, createProof, isProofValid, type LinkSide } from './link-auth.js';
import { startInputDeadline } from './input-deadline.js';

/** Why a request over a link has no reply. Only `not-sent` guarantees that the other side did not receive it. */
export type LinkError =
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'closed' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'remote'; readonly message: string };

export interface LinkPeer {
  readonly remoteAddress: string;
  /** Sends a request and waits for its reply, at most `timeoutMs`. */
  readonly request: (
    method: string,
    params: unknown,
    timeoutMs: number,
  ) => Promise<Either<LinkError, unknown>>;
  /** Sends an event; returns whether it was sent: the link was open and the event is not longer than a frame may be. */
  readonly notify: (method: string, params: unknown) => boolean;
  readonly close: (reason: string) => void;
  readonly isOpen: () => boolean;
  /** Bytes buffered in this process that the kernel has not accepted yet. */
  readonly pendingBytes: () => number;
  /** Bytes exchanged since the connection was opened. */
  readonly traffic: () => { readonly receivedBytes: number; readonly sentBytes: number };
}

export interface LinkHandlers {
  readonly onRequest: (peer: LinkPeer, method: string, params: unknown) => unknown;
  readonly onNotify: (peer: LinkPeer, method: string, params: unknown) => void;
  readonly onOpen?: (peer: LinkPeer) => void;
  readonly onClose?: (peer: LinkPeer, reason: string) => void;
}

export interface LinkOptions {
  readonly secret: string;
  /** A ping is sent when nothing was sent for this long. */
  readonly pingEveryMs: number;
  /** The link is closed when nothing was received for this long. */
  readonly silentAfterMs: number;
}

export const DEFAULT_LINK_TIMING = { pingEveryMs: 400, silentAfterMs: 2_000 } as const;

/** Frame kinds on the wire; the first element of each frame. */
const FRAME = { hello: 0, proof: 1, request: 2, reply: 3, failure: 4, event: 5, ping: 6 } as const;

const NO_BYTES = Buffer.alloc(0);
/** Longest frame of a peer that is not authenticated yet; a hello and a proof have fewer than 64 bytes. */
const MAX_HANDSHAKE_FRAME_BYTES = 1_024;
/** Time from connect to the end of authentication, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 5_000;

interface PendingRequest {
  readonly resolve: (outcome: Either<LinkError, unknown>) => void;
  readonly endDeadline: () => void;
}

/**
 * Runs the link protocol on a connected socket.
 *
 * @example
 * const peer = runLink(socket, 'client', { secret, ...DEFAULT_LINK_TIMING }, handlers);
 */
export function runLink(
  socket: Socket,
  side: LinkSide,
  options: LinkOptions,
  handlers: LinkHandlers,
): LinkPeer {
  const decoder = createFrameDecoder(MAX_HANDSHAKE_FRAME_BYTES);
  const pending = new Map<number, PendingRequest>();
  const ownNonce = createNonce();
  let remoteNonce: Uint8Array | undefined;
  let nextRequestId = 1;
  let phase: 'hello' | 'proof' | 'open' | 'closed' = 'hello';
  const connectedMs = performance.now();
  let lastReceivedMs = connectedMs;
  let lastSentMs = performance.now();

  const peer: LinkPeer = {
    remoteAddress: `${socket.remoteAddress ?? '?'}:${socket.remotePort ?? 0}`,
    request: sendRequest,
    notify,
    close,
    isOpen: () => phase === 'open',
    pendingBytes: () => socket.writableLength,
    traffic: () => ({ receivedBytes: socket.bytesRead, sentBytes: socket.bytesWritten }),
  };

  const stopChecks = setSharedInterval(Math.min(options.pingEveryMs, 200), checkLiveness);
  socket.setNoDelay(true);
  socket.on('data', receive);
  socket.on('error', () => undefined);
  socket.on('close', () => {
    finish('connection closed');
  });
  write([FRAME.hello, ownNonce]);
  return peer;

  /** Returns whether the frame was written. The peer would close the link, with all that is pending, for a longer one. */
  function write(frame: readonly unknown[]): boolean {
    const encoded = encodeFrame(frame);
    if (!isFrameAllowed(encoded)) return false;
    lastSentMs = performance.now();
    writeBatched(socket, encoded);
    return true;
  }

  function sendRequest(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Either<LinkError, unknown>> {
    if (phase !== 'open') return Promise.resolve(Left({ kind: 'not-sent' }));
    const id = nextRequestId;
    nextRequestId += 1;
    return new Promise((resolve) => {
      const endDeadline = startInputDeadline(timeoutMs, () => {
        settle(id, Left({ kind: 'timeout' }));
      });
      pending.set(id, { resolve, endDeadline });
      if (!write([FRAME.request, id, method, params])) settle(id, Left({ kind: 'not-sent' }));
    });
  }

  function settle(id: number, outcome: Either<LinkError, unknown>): void {
    const request = pending.get(id);
    if (!request) return;
    pending.delete(id);
    request.endDeadline();
    request.resolve(outcome);
  }

  function notify(method: string, params: unknown): boolean {
    return phase === 'open' && write([FRAME.event, method, params]);
  }

  function close(reason: string): void {
    socket.destroy();
    finish(reason);
  }

  function finish(reason: string): void {
    if (phase === 'closed') return;
    const wasOpen = phase === 'open';
    phase = 'closed';
    stopChecks();
    for (const id of [...pending.keys()]) settle(id, Left({ kind: 'closed' }));
    if (wasOpen || side === 'client') handlers.onClose?.(peer, reason);
  }

  /**
   * Closes a silent link and sends pings. The time since the last input is checked again after pending input was
   * read: if this process was suspended, bytes may already be waiting in the socket.
   */
  function checkLiveness(): void {
    const nowMs = performance.now();
    if (nowMs - lastReceivedMs > options.silentAfterMs) {
      setImmediate(() => {
        if (performance.now() - lastReceivedMs > options.silentAfterMs) close('peer is silent');
      });
      return;
    }
    if (isAuthenticating() && nowMs - connectedMs > HANDSHAKE_TIMEOUT_MS) {
      setImmediate(() => {
        if (isAuthenticating()) close('peer did not authenticate in time');
      });
      return;
    }
    if (phase === 'open' && nowMs - lastSentMs >= options.pingEveryMs) write([FRAME.ping]);
  }

  function isAuthenticating(): boolean {
    return phase === 'hello' || phase === 'proof';
  }

  /** Frames are decoded one at a time until the peer is authenticated, since longer ones may follow its proof. */
  function receive(chunk: Buffer): void {
    lastReceivedMs = performance.now();
    let input = chunk;
    while (isAuthenticating()) {
      if (!receiveFrames(input, 1)) return;
      input = NO_BYTES;
    }
    receiveFrames(input, Number.POSITIVE_INFINITY);
  }

  /** Returns whether any frame was complete. */
  function receiveFrames(input: Buffer, maxFrames: number): boolean {
    const decoded = decodeFrames(decoder, input, maxFrames);
    if (decoded.kind === 'malformed') {
      close(decoded.reason);
      return false;
    }
    for (const value of decoded.values) {
      if (phase === 'closed') return false;
      if (!Array.isArray(value)) {
        close('frame is not a list');
        return false;
      }
      receiveFrame(value as unknown[]);
    }
    return decoded.values.length > 0;
  }

  function receiveFrame(frame: unknown[]): void {
    if (phase === 'hello') receiveHello(frame);
    else if (phase === 'proof') receiveProof(frame);
    else receiveMessage(frame);
  }

  function receiveHello(frame: unknown[]): void {
    const [kind, nonce] = frame;
    if (kind !== FRAME.hello || !(nonce instanceof Uint8Array)) {
      close('peer did not start with a hello');
      return;
    }
    remoteNonce = nonce;
    phase = 'proof';
    write([FRAME.proof, createProofOf(side)]);
  }

  function receiveProof(frame: unknown[]): void {
    const remoteSide: LinkSide = side === 'client' ? 'server' : 'client';
    if (frame[0] !== FRAME.proof || !isProofValid(frame[1], createProofOf(remoteSide))) {
      close('peer does not know the link secret');
      return;
    }
    phase = 'open';
    decoder.maxFrameBytes = MAX_FRAME_BYTES;
    handlers.onOpen?.(peer);
  }

  function createProofOf(prover: LinkSide): Buffer {
    const other = remoteNonce ?? new Uint8Array();
    const [clientNonce, serverNonce] = side === 'client' ? [ownNonce, other] : [other, ownNonce];
    return createProof(options.secret, prover, clientNonce, serverNonce);
  }

  function receiveMessage(frame: unknown[]): void {
    switch (frame[0]) {
      case FRAME.ping:
        return;
      case FRAME.event:
        handlers.onNotify(peer, String(frame[1]), frame[2]);
        return;
      case FRAME.request:
        void answerRequest(Number(frame[1]), String(frame[2]), frame[3]);
        return;
      case FRAME.reply:
        settle(Number(frame[1]), Right(frame[2]));
        return;
      case FRAME.failure:
        settle(Number(frame[1]), Left({ kind: 'remote', message: String(frame[2]) }));
        return;
      default:
        close('unknown frame kind');
    }
  }

  async function answerRequest(id: number, method: string, params: unknown): Promise<void> {
    try {
      const result = await handlers.onRequest(peer, method, params);
      if (phase !== 'open' || write([FRAME.reply, id, result])) return;
      write([FRAME.failure, id, 'the reply is longer than a frame may be']);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      if (phase === 'open') write([FRAME.failure, id, message]);
    }
  }
}
