/** All callers of an entry: accepting, finding by session or cancel key, closing. */
import { randomInt } from 'node:crypto';
import { createServer, type Server, type Socket } from 'node:net';
import type { SecureContext } from 'node:tls';
import {
  toSessionId,
  type FromOwnerMessage,
  parsePosition,
  refuse,
  type SessionId,
  splitAddress,
} from '@bramleykeel/core';
import {
  buildAuthenticationOk,
  buildBackendKeyData,
  buildParameterStatus,
} from '@bramleykeel/postgres-wire';
import type { OwnerPort } from '../locate/owner-port.js';
import { buildRefusal, endWithRefusal, sendReady, SESSION_PARAMETER } from './caller-output.js';
import { handlePortLost, takeAnswer } from './caller-request.js';
import { closeSession, processInbox, takeInput } from './caller-session.js';
import type { CallerEnvironment, CallerSession } from './caller-state.js';
import { createCallerStatements } from './chunk-builder.js';
import { type AccessRules, type Admitted, runStartup } from './startup.js';

export interface CallerRegistryOptions {
  readonly address: string;
  readonly maxCallers: number;
  readonly secureContext: SecureContext | undefined;
  /** Prefix of session ids; unique for each start of the process. */
  readonly sessionPrefix: string;
  readonly environment: CallerEnvironment;
  readonly rules: AccessRules;
  /** Passes on a cancel request that is not for a caller of this entry. */
  readonly onForeignCancel: (processId: number, secretKey: number) => void;
}

export interface CallerRegistry {
  readonly options: CallerRegistryOptions;
  readonly sessions: Map<SessionId, CallerSession>;
  readonly byProcessId: Map<number, CallerSession>;
  readonly server: Server;
  connectionCount: number;
  nextSession: number;
}

const STARTUP_TIMEOUT_MS = 5_000;
/** A session unused for this long is not about to send its next request. */
const IDLE_BEFORE_CLOSE_MS = 500;
const KEEP_ALIVE_DELAY_MS = 10_000;
const SERVER_PARAMETERS: Readonly<Record<string, string>> = {
  server_version: '16.0 (bramleykeel)',
  server_encoding: 'UTF8',
  client_encoding: 'UTF8',
  DateStyle: 'ISO, MDY',
  integer_datetimes: 'on',
  standard_conforming_strings: 'on',
};
/** Startup parameters that become session settings, as a SET would make them. */
const CARRIED_PARAMETERS = ['datestyle', 'timezone', 'search_path', 'statement_timeout'];

/** Starts to accept callers. */
export function listenForCallers(options: CallerRegistryOptions): Promise<CallerRegistry> {
  const server = createServer((socket) => {
    void accept(registry, socket);
  });
  const registry: CallerRegistry = {
    options,
    sessions: new Map(),
    byProcessId: new Map(),
    server,
    connectionCount: 0,
    nextSession: 1,
  };
  const { host, port } = splitAddress(options.address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ port, host, backlog: 4_096 }, () => {
      resolve(registry);
    });
  });
}

async function accept(registry: CallerRegistry, socket: Socket): Promise<void> {
  const { environment, maxCallers, rules, secureContext } = registry.options;
  registry.connectionCount += 1;
  socket.once('close', () => {
    registry.connectionCount -= 1;
  });
  socket.on('error', () => undefined);
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
  if (registry.connectionCount > maxCallers) {
    environment.counters.count('refusal.too-many-callers');
    socket.end(buildRefusal(refuse('too-many-callers'), true));
    return;
  }
  const { maxMessageBytes } = environment;
  const options = { secureContext, maxMessageBytes, timeoutMs: STARTUP_TIMEOUT_MS, rules };
  const outcome = await runStartup(socket, options);
  switch (outcome.kind) {
    case 'gone':
      environment.counters.count('caller.gone-during-startup');
      return;
    case 'refused':
      environment.counters.count(`refusal.${outcome.refusal.reason}`);
      return;
    case 'cancel':
      if (!cancelLocal(registry, outcome.processId, outcome.secretKey)) {
        registry.options.onForeignCancel(outcome.processId, outcome.secretKey);
      }
      return;
    case 'admitted':
      startSession(registry, outcome.admitted);
  }
}

function startSession(registry: CallerRegistry, admitted: Admitted): void {
  const { environment, sessionPrefix } = registry.options;
  const { socket, parameters } = admitted;
  const number = registry.nextSession;
  registry.nextSession += 1;
  const session: CallerSession = {
    id: toSessionId(`${sessionPrefix}:${number}`),
    environment,
    socket,
    customer: admitted.customer,
    group: admitted.group,
    key: admitted.key,
    processId: randomInt(1, 2 ** 31 - 1),
    secretKey: randomInt(1, 2 ** 31 - 1),
    framer: admitted.framer,
    inbox: [],
    inboxBytes: 0,
    statements: createCallerStatements(),
    settings: carriedSettings(parameters),
    mark: parsePosition(parameters.get(SESSION_PARAMETER) ?? '') ?? null,
    status: 'idle',
    port: undefined,
    request: undefined,
    nextNumber: 1,
    isPreparing: false,
    isSkipping: false,
    unreturnedCreditBytes: 0,
    lastActiveMs: performance.now(),
    continueInput: () => undefined,
    isClosed: false,
  };
  session.continueInput = () => {
    processInbox(session);
  };
  registry.sessions.set(session.id, session);
  registry.byProcessId.set(session.processId, session);
  socket.on('data', (chunk: Buffer) => {
    takeInput(session, chunk);
  });
  socket.once('close', () => {
    closeSession(session);
    registry.sessions.delete(session.id);
    registry.byProcessId.delete(session.processId);
  });
  greet(session);
  socket.resume();
  takeInput(session, Buffer.alloc(0));
}

function carriedSettings(parameters: ReadonlyMap<string, string>): Map<string, string> {
  const settings = new Map<string, string>();
  for (const [name, value] of parameters) {
    const lowerName = name.toLowerCase();
    if (!CARRIED_PARAMETERS.includes(lowerName)) continue;
    settings.set(lowerName, `SET ${lowerName} = '${value.replaceAll("'", "''")}'`);
  }
  return settings;
}

function greet(session: CallerSession): void {
  const { socket } = session;
  socket.cork();
  socket.write(buildAuthenticationOk());
  for (const [name, value] of Object.entries(SERVER_PARAMETERS)) {
    socket.write(buildParameterStatus(name, value));
  }
  socket.write(buildBackendKeyData(session.processId, session.secretKey));
  sendReady(session);
  socket.uncork();
}

/** Cancels what a caller of this entry runs, if the cancel key is its own. */
export function cancelLocal(
  registry: CallerRegistry,
  processId: number,
  secretKey: number,
): boolean {
  const session = registry.byProcessId.get(processId);
  if (session?.secretKey !== secretKey) return false;
  const { request } = session;
  if (request) {
    const { number, port } = request;
    port.send({ kind: 'request/cancel', session: session.id, number });
  }
  return true;
}

/** Hands an owner's message to the session it is for. */
export function dispatchAnswer(registry: CallerRegistry, message: FromOwnerMessage): void {
  const session = registry.sessions.get(message.session);
  if (session) takeAnswer(session, message);
}

/** Tells all sessions that used a port that it is lost. */
export function dispatchPortLost(registry: CallerRegistry, port: OwnerPort): void {
  for (const session of registry.sessions.values()) handlePortLost(session, port);
}

/** Ends the sessions whose key is no longer in force; an open transaction is rolled back. */
export function closeWithdrawn(
  registry: CallerRegistry,
  isInForce: (session: CallerSession) => boolean,
): void {
  for (const session of [...registry.sessions.values()]) {
    if (session.key === undefined || isInForce(session)) continue;
    endWithRefusal(session, refuse('key-withdrawn'));
    closeSession(session);
  }
}

/** Stops accepting; sessions that are in use end with the answer to their next request. */
export function stopAccepting(registry: CallerRegistry): void {
  registry.server.close();
}

/** Ends the sessions that were not used lately: a caller that is about to send is not cut off. */
export function closeIdle(registry: CallerRegistry): void {
  for (const session of registry.sessions.values()) closeIfIdle(session);
}

function closeIfIdle(session: CallerSession): void {
  const isIdle = session.status === 'idle' && !session.request && !session.isPreparing;
  if (!isIdle || session.inbox.length > 0 || session.isClosed) return;
  if (performance.now() - session.lastActiveMs < IDLE_BEFORE_CLOSE_MS) return;
  endWithRefusal(session, refuse('owner-stopping', 'this entry is stopping; connect again'));
}

/** Goes on with sessions that have input waiting. */
export function processAll(registry: CallerRegistry): void {
  for (const session of registry.sessions.values()) processInbox(session);
}
