/** Startup phase of a caller's connection: encryption, cancel requests, authentication, group. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Socket } from 'node:net';
import { type SecureContext, TLSSocket } from 'node:tls';
import {
  toCustomerName,
  toGroupName,
  type CustomerName,
  type GroupName,
  type Refusal,
  refuse,
} from '@bramleykeel/core';
import {
  bufferedBytesOf,
  buildCleartextPasswordRequest,
  CLIENT,
  createMessageFramer,
  frameMessages,
  type MessageFramer,
  readStartupPacket,
  readStringPayload,
  returnMessages,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import type { AcceptedKey } from '../authenticate/key-index.js';
import { buildRefusal } from './caller-output.js';

/** Lookups that decide which callers may connect to which groups. */
export interface AccessRules {
  readonly isKnownGroup: (group: GroupName) => boolean;
  readonly hasFreshSettings: () => boolean;
  readonly isKnownCustomer: (customer: CustomerName) => boolean;
  readonly findKey: (customer: CustomerName, secret: string) => AcceptedKey | undefined;
  /** Returns the customer that callers without a key run as, if the group is open to all. */
  readonly keylessCustomer: (group: GroupName) => CustomerName | undefined;
}

export interface AdmittedCaller {
  readonly socket: Socket;
  readonly framer: MessageFramer;
  readonly customer: CustomerName;
  readonly group: GroupName;
  readonly key: AcceptedKey | undefined;
  readonly parameters: ReadonlyMap<string, string>;
}

export type StartupOutcome =
  | { readonly kind: 'admitted'; readonly admitted: AdmittedCaller }
  | { readonly kind: 'cancel'; readonly processId: number; readonly secretKey: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'gone' };

export interface StartupOptions {
  readonly secureContext: SecureContext | undefined;
  readonly maxMessageBytes: number;
  readonly timeoutMs: number;
  readonly rules: AccessRules;
}

/** Delay before a wrong key is answered, to slow down guessing. */
const WRONG_KEY_DELAY_MS = 100;
/** Longest message of a caller that has not given its key yet. */
const MAX_PASSWORD_BYTES = 10_000;
const ENCRYPTION_ACCEPTED = 'S';
const ENCRYPTION_REFUSED = 'N';

/** Runs the startup phase of a connection. Sends refusals to the caller itself. */
export async function runStartup(
  plainSocket: Socket,
  options: StartupOptions,
): Promise<StartupOutcome> {
  let socket = plainSocket;
  let framer = createMessageFramer(options.maxMessageBytes, true);
  const timer = setTimeout(() => plainSocket.destroy(), options.timeoutMs);
  try {
    for (;;) {
      const first = await readMessage(socket, framer);
      if (!first) return { kind: 'gone' };
      const packet = readStartupPacket(first);
      switch (packet.kind) {
        case 'ssl-request':
          if (!options.secureContext) {
            socket.write(ENCRYPTION_REFUSED);
            break;
          }
          socket.write(ENCRYPTION_ACCEPTED);
          socket = new TLSSocket(socket, { isServer: true, secureContext: options.secureContext });
          socket.on('error', () => undefined);
          framer = createMessageFramer(options.maxMessageBytes, true);
          break;
        case 'gss-request':
          socket.write(ENCRYPTION_REFUSED);
          break;
        case 'cancel':
          socket.end();
          return packet;
        case 'malformed':
          return refuseStartup(socket, refuse('bad-startup'));
        case 'startup':
          framer.isStartup = false;
          return await authenticate(socket, framer, packet.parameters, options.rules);
      }
    }
  } finally {
    clearTimeout(timer);
  }
}

async function authenticate(
  socket: Socket,
  framer: MessageFramer,
  parameters: ReadonlyMap<string, string>,
  rules: AccessRules,
): Promise<StartupOutcome> {
  const customer = toCustomerName(parameters.get('user') ?? '');
  const group = toGroupName(parameters.get('database') ?? customer);
  const encoding = parameters.get('client_encoding') ?? 'UTF8';
  if (!/^'?utf-?8'?$/i.test(encoding)) {
    return refuseStartup(socket, refuse('bad-startup', 'only client_encoding UTF8 is supported'));
  }
  const keylessCustomer = rules.keylessCustomer(group);
  if (keylessCustomer !== undefined && !rules.isKnownCustomer(customer)) {
    return createAdmittedOutcome({
      socket,
      framer,
      customer: keylessCustomer,
      group,
      key: undefined,
      parameters,
    });
  }
  socket.write(buildCleartextPasswordRequest());
  const { maxMessageBytes } = framer;
  framer.maxMessageBytes = MAX_PASSWORD_BYTES;
  const passwordMessage = await readMessage(socket, framer);
  framer.maxMessageBytes = maxMessageBytes;
  if (!passwordMessage) return { kind: 'gone' };
  if (passwordMessage.type !== CLIENT.password) return refuseStartup(socket, refuse('bad-startup'));
  if (!rules.hasFreshSettings()) return refuseStartup(socket, refuse('settings-lease-expired'));
  const key = rules.findKey(customer, readStringPayload(passwordMessage));
  if (!key) {
    await delay(WRONG_KEY_DELAY_MS);
    return refuseStartup(socket, refuse('key-rejected'));
  }
  if (!rules.isKnownGroup(group)) return refuseStartup(socket, refuse('unknown-group', group));
  return createAdmittedOutcome({ socket, framer, customer, group, key, parameters });
}

function createAdmittedOutcome(value: AdmittedCaller): StartupOutcome {
  return { kind: 'admitted', admitted: value };
}

function refuseStartup(socket: Socket, refusal: Refusal): StartupOutcome {
  socket.end(buildRefusal(refusal, true));
  return { kind: 'refused', refusal };
}

/**
 * Reads one message; bytes received after it stay in the framer.
 *
 * @returns `undefined` if the connection was closed or sent a malformed message
 */
function readMessage(socket: Socket, framer: MessageFramer): Promise<WireMessage | undefined> {
  return new Promise((resolve) => {
    const finish = (message: WireMessage | undefined) => {
      socket.off('data', handleData);
      socket.off('close', handleClose);
      socket.pause();
      resolve(message);
    };
    const handleClose = () => {
      finish(undefined);
    };
    const handleData = (chunk: Buffer) => {
      const framed = frameMessages(framer, chunk);
      if (framed.kind !== 'messages') {
        socket.destroy();
        finish(undefined);
        return;
      }
      const [first, ...others] = framed.messages;
      if (!first) return;
      returnMessages(framer, others);
      finish(first);
    };
    socket.on('data', handleData);
    socket.on('close', handleClose);
    socket.resume();
    if (bufferedBytesOf(framer) > 0) handleData(Buffer.alloc(0));
  });
}
