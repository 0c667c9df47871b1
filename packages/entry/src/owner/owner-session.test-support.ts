/** A session at the owner of a group whose only server follows a script. */
import {
  type FromOwnerMessage,
  type Intent,
  entrySettingsSchema,
  groupSchema,
  type RequestChunk,
  toCustomerName,
  toGroupName,
  toIncarnation,
  toServerName,
  toSessionId,
} from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import {
  buildCommandComplete,
  buildDataRow,
  buildQuery,
  buildReadyForQuery,
  CLIENT,
  readStringPayload,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { type Script, type ScriptedServer, startScriptedServer } from '@bramleykeel/test-support';
import { vi } from 'vitest';
import { closeGroupOwner, handleAnnouncement, startGroupOwner } from './group-owner.js';
import { handleEntryMessage } from './owner-app.js';
import type { GroupOwner } from './owner-state.js';

const GROUP = toGroupName('g');
export const SERVER_NAME = toServerName('s1');
const SESSION = toSessionId('e1:1');

interface LoggedLine {
  readonly message: string;
  readonly fields: Record<string, unknown>;
}

function createEnvironment(requests: Readonly<Record<string, number>>, logged: LoggedLine[]) {
  const settings = entrySettingsSchema.parse({
    entry: {
      ...{ id: 'e1', zone: 'z', callerAddress: '127.0.0.1:3', linkAddress: '127.0.0.1:4' },
      announceAddress: '127.0.0.1:5',
    },
    members: [{ id: 'c', linkAddress: '127.0.0.1:1', adminAddress: '127.0.0.1:2' }],
    link: { secret: '0123456789abcdef' },
    requests,
  });
  const record = {
    group: GROUP,
    servers: [SERVER_NAME],
    primary: SERVER_NAME,
    term: 1,
    proposedTerm: 1,
  };
  return {
    settings,
    counters: createCounters('test', undefined),
    log: (message: string, fields: Record<string, unknown> = {}) => {
      logged.push({ message, fields });
    },
    holdsLease: () => true,
    groupRecord: () => record,
    groupSetting: () => groupSchema.parse({}),
    evacuatedZones: () => new Set<string>(),
    propose: () => Promise.resolve({ kind: 'done' as const }),
  };
}

/** A session at the owner of a group whose only server follows a script. */
export class TestSession {
  readonly sent: FromOwnerMessage[] = [];
  private lastNumber = 0;

  constructor(
    readonly owner: GroupOwner,
    readonly server: ScriptedServer,
    readonly logged: readonly LoggedLine[],
  ) {
    handleEntryMessage(owner, this.channel, {
      ...{ kind: 'session/open', session: SESSION, group: GROUP, ownerEpoch: 7 },
      ...{ customer: toCustomerName('acme'), readAgeAllowanceMs: null, mark: null },
    });
  }

  private get channel() {
    return { send: (message: FromOwnerMessage) => this.sent.push(message) };
  }

  /** Waits until the owner has an open connection to the server that no request uses. */
  async warmUp(): Promise<void> {
    await vi.waitFor(
      () => {
        if (this.owner.pools.get(SERVER_NAME)?.idle.length !== 1)
          throw new Error('the pool has no idle connection');
      },
      { timeout: 3_000, interval: 5 },
    );
  }

  /** Runs a request; resolves to the answer's bytes, its refusal and its status. */
  async run(
    text: string,
    intent: Intent = 'read',
    settings: Readonly<Record<string, string>> = {},
  ) {
    const messages = buildQuery(text);
    const chunk = { messages, statements: [], expected: [], isFinal: true };
    return this.runChunk({ ...chunk, mayCommit: intent === 'write' }, intent, settings);
  }

  async runChunk(
    chunk: RequestChunk,
    intent: Intent,
    settings: Readonly<Record<string, string>> = {},
  ) {
    this.lastNumber += 1;
    const number = this.lastNumber;
    handleEntryMessage(this.owner, this.channel, {
      ...{ kind: 'request/start', session: SESSION, number, intent, chunk },
      ...{ readAgeAllowanceMs: null, settings, settingEffect: null },
    });
    return this.endOf(number);
  }

  async endOf(number: number) {
    const end = await vi.waitFor(
      () => {
        const found = this.sent.find(
          (message) => message.kind === 'request/end' && message.number === number,
        );
        if (found?.kind !== 'request/end') throw new Error(`request ${number} has not ended`);
        return found;
      },
      { timeout: 3_000, interval: 5 },
    );
    const frames = this.sent.flatMap((message) =>
      message.kind === 'request/data' && message.number === number ? [message.bytes] : [],
    );
    const text = Buffer.concat(frames).toString('latin1');
    const { reason: refusal, outcome } = end.refusal ?? {};
    return { text, refusal, outcome, status: end.status };
  }

  /** Number of connections that were closed because they were out of step, by what used them, and of harmless copies. */
  get closed() {
    const totals = this.owner.environment.counters.totals();
    return {
      unused: totals['target.message-unexpected'] ?? 0,
      inRequest: totals['target.answer-foreign'] ?? 0,
      copies: totals['target.answer-repeated'] ?? 0,
    };
  }
}

let session: TestSession | undefined;

/** Ends the session that was opened last, with its owner and its server. */
export function closeTestSession(): void {
  if (!session) return;
  closeGroupOwner(session.owner);
  session.server.close();
  session = undefined;
}

/** Opens a session at the owner of a group; `requests` are settings of the entry. */
export async function openSession(
  script: Script,
  requests: Readonly<Record<string, number>> = {},
): Promise<TestSession> {
  const logged: LoggedLine[] = [];
  const server = await startScriptedServer(script);
  const owner = startGroupOwner(GROUP, 7, createEnvironment(requests, logged));
  handleAnnouncement(owner, {
    ...{ group: GROUP, server: SERVER_NAME, incarnation: toIncarnation('i1'), sequence: 1 },
    ...{ address: server.address, commandUrl: 'http://127.0.0.1:1', zone: 'a', term: 1, slots: 1 },
    ...{ role: 'primary', connections: 10, isLeaving: false, position: { term: 1, offset: 10 } },
  });
  session = new TestSession(owner, server, logged);
  return session;
}

export function answerTo(text: string, status: 'idle' | 'in-transaction' = 'idle'): Buffer[] {
  const row = buildDataRow([`row of ${text}`]);
  return [row, buildCommandComplete('SELECT 1'), buildReadyForQuery(status)];
}

export function queryText(message: WireMessage): string | undefined {
  return message.type === CLIENT.query ? readStringPayload(message) : undefined;
}
