/** Registry of an entry's callers: accepts, looks up by session or cancel key, and closes them. */
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
import { type BoundedConnections, boundConnections } from '@bramleykeel/link';
import {
  buildAuthenticationOk,
  buildBackendKeyData,
  buildParameterStatus,
  usePieces,
} from '@bramleykeel/postgres-wire';
import type { OwnerPort } from '../locate/owner-port.js';
import { buildRefusal, endWithRefusal, sendReady, SESSION_PARAMETER } from './caller-output.js';
import { handlePortLost, handleOwnerMessage } from './caller-request.js';
import {
  closeSocketForBudget,
  closeSocketForTime,
  createCallerHolder,
  isOverdue,
  measureSettings,
  updateHeld,
} from './caller-limits.js';
import { closeSession, processInbox, handleInput } from './caller-session.js';
import type { CallerEnvironment, CallerSession } from './caller-state.js';
import { createCallerStatements } from './chunk-builder.js';
import { type AccessRules, type AdmittedCaller, runStartup } from './startup.js';

export interface CallerRegistryOptions {
  readonly address: string;
  readonly secureContext: SecureContext | undefined;
  /** Prefix of session ids, unique to each start of the process. */
  readonly sessionPrefix: string;
  readonly environment: CallerEnvironment;
  readonly rules: AccessRules;
  /** Called for a cancel request whose key does not match a caller of this entry. */
  readonly onUnmatchedCancel: (processId: number, secretKey: number) => void;
}

export interface CallerRegistry {
  readonly options: CallerRegistryOptions;
  readonly sessions: Map<SessionId, CallerSession>;
  readonly byProcessId: Map<number, CallerSession>;
  readonly server: Server;
  readonly bounded: BoundedConnections;
  nextSessionNumber: number;
}

const STARTUP_TIMEOUT_MS = 5_000;
/** A caller that has been idle for this long is unlikely to be about to send a request. */
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
/** Startup parameters that become session settings, as if set by SET. */
const SETTING_PARAMETERS = ['datestyle', 'timezone', 'search_path', 'statement_timeout'];

/**
 * Listens for callers.
 *
 * @throws when the address is taken
 */
export function listenForCallers(options: CallerRegistryOptions): Promise<CallerRegistry> {
  const server = createServer((socket) => {
    // Connections above the bound have been closed.
    if (!socket.writableEnded && !socket.destroyed) void acceptCaller(registry, socket);
  });
  const { environment } = options;
  const bounded = boundConnections(server, environment.limits.maxConnections, (socket) => {
    closeAboveBound(environment, socket);
  });
  const registry: CallerRegistry = {
    options,
    sessions: new Map(),
    byProcessId: new Map(),
    server,
    bounded,
    nextSessionNumber: 1,
  };
  const { host, port } = splitAddress(options.address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ port, host, backlog: 4_096 }, () => {
      resolve(registry);
    });
  });
}

/** Closes a connection that was not authenticated; one that has sent something may be encrypted, and is told nothing. */
function closeAboveBound({ counters, limits }: CallerEnvironment, socket: Socket): void {
  counters.count('refusal.too-many-callers');
  limits.limitedLog('connection of a caller closed by the bound on connections', {
    maxConnections: limits.maxConnections,
  });
  socket.on('error', () => undefined);
  if (socket.bytesRead > 0) {
    socket.destroy();
    return;
  }
  socket.write(buildRefusal(refuse('too-many-callers'), true));
  socket.destroySoon();
}

async function acceptCaller(registry: CallerRegistry, socket: Socket): Promise<void> {
  const { environment, rules, secureContext } = registry.options;
  socket.once('close', () => {
    registry.bounded.release(socket);
  });
  socket.on('error', () => undefined);
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
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
      if (!cancelLocalRequest(registry, outcome.processId, outcome.secretKey)) {
        registry.options.onUnmatchedCancel(outcome.processId, outcome.secretKey);
      }
      return;
    case 'admitted':
      registry.bounded.setIdle(socket, false);
      startSession(registry, outcome.admitted);
  }
}

function startSession(registry: CallerRegistry, admitted: AdmittedCaller): void {
  const { environment, sessionPrefix } = registry.options;
  const { socket, parameters } = admitted;
  const number = registry.nextSessionNumber;
  registry.nextSessionNumber += 1;
  const settings = readStartupSettings(parameters);
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
    takenBytes: 0,
    messageSinceMs: 0,
    holder: createCallerHolder(environment.limits, admitted.customer, (reason) => {
      closeSocketForBudget(session, reason);
      closeSession(session);
    }),
    statements: createCallerStatements(),
    settings,
    settingsBytes: measureSettings(settings),
    mark: parsePosition(parameters.get(SESSION_PARAMETER) ?? '') ?? null,
    status: 'idle',
    port: undefined,
    request: undefined,
    nextRequestNumber: 1,
    isPreparing: false,
    isSkippingToSync: false,
    unreturnedCreditBytes: 0,
    lastActiveMs: performance.now(),
    continueInput: () => undefined,
    isClosed: false,
  };
  session.continueInput = () => {
    processInbox(session);
    updateHeld(session);
  };
  registry.sessions.set(session.id, session);
  registry.byProcessId.set(session.processId, session);
  socket.on('data', (chunk: Buffer) => {
    environment.limits.collector.countReceived(chunk.length);
    handleInput(session, chunk);
  });
  // Requests wait while much of their answers is unsent.
  socket.on('drain', session.continueInput);
  socket.once('close', () => {
    closeSession(session);
    registry.sessions.delete(session.id);
    registry.byProcessId.delete(session.processId);
  });
  usePieces(session.framer, environment.limits.piecePool);
  sendStartupMessages(session);
  socket.resume();
  handleInput(session, Buffer.alloc(0));
}

function readStartupSettings(parameters: ReadonlyMap<string, string>): Map<string, string> {
  const settings = new Map<string, string>();
  for (const [name, value] of parameters) {
    const lowerName = name.toLowerCase();
    if (!SETTING_PARAMETERS.includes(lowerName)) continue;
    settings.set(lowerName, `SET ${lowerName} = '${value.replaceAll("'", "''")}'`);
  }
  return settings;
}

function sendStartupMessages(session: CallerSession): void {
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

/**
 * Cancels the running request of the caller with this cancel key.
 *
 * @returns whether the key belongs to a caller of this entry
 */
export function cancelLocalRequest(
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

/** Delivers an owner's message to its session. */
export function dispatchOwnerMessage(registry: CallerRegistry, message: FromOwnerMessage): void {
  const session = registry.sessions.get(message.session);
  if (session) handleOwnerMessage(session, message);
}

/** Handles the loss of a port in all sessions that use it. */
export function dispatchPortLost(registry: CallerRegistry, port: OwnerPort): void {
  for (const session of registry.sessions.values()) handlePortLost(session, port);
}

/** Closes the sessions whose key is no longer in force; their open transactions are rolled back. */
export function closeSessionsWithWithdrawnKeys(
  registry: CallerRegistry,
  isInForce: (session: CallerSession) => boolean,
): void {
  for (const session of [...registry.sessions.values()]) {
    if (session.key === undefined || isInForce(session)) continue;
    endWithRefusal(session, refuse('key-withdrawn'));
    closeSession(session);
  }
}

/** Stops accepting callers; sessions that are open stay so until they are closed. */
export function stopAccepting(registry: CallerRegistry): void {
  registry.server.close();
}

/**
 * Closes the sessions that have been idle for `IDLE_BEFORE_CLOSE_MS`. Recently active sessions stay
 * open, because their callers may be about to send a request.
 */
export function closeIdleSessions(registry: CallerRegistry): void {
  for (const session of registry.sessions.values()) closeSessionIfIdle(session);
}

function closeSessionIfIdle(session: CallerSession): void {
  const isIdle = session.status === 'idle' && !session.request && !session.isPreparing;
  if (!isIdle || session.inbox.length > 0 || session.isClosed) return;
  if (performance.now() - session.lastActiveMs < IDLE_BEFORE_CLOSE_MS) return;
  endWithRefusal(session, refuse('owner-stopping', 'this entry is stopping; connect again'));
}

/** Closes the sessions whose message was not finished in time. */
export function closeOverdueSessions(registry: CallerRegistry): void {
  const nowMs = performance.now();
  for (const session of registry.sessions.values()) {
    if (!isOverdue(session, nowMs)) continue;
    closeSocketForTime(session);
    closeSession(session);
  }
}

/** Processes the buffered input of all sessions. */
export function processAllInboxes(registry: CallerRegistry): void {
  for (const session of registry.sessions.values()) session.continueInput();
}
