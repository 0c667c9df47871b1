/** Servers that answer twice: the second answer arrives at once, while the connection is unused, or during the next request. */
import type { Cluster } from '@bramleykeel/dev-launcher';
import { requestJson } from '@bramleykeel/test-support';
import type pg from 'pg';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  connect,
  delay,
  fetchServerLog,
  GROUP,
  sqlStateOf,
  startTestCluster,
  type TestCluster,
  withClient,
} from './test-cluster.js';

const MIN_ROUNDS = 8;
/** Orders of the owner's own count too, so which answers are repeated depends on the time and may hit each transaction. */
const MAX_ROUNDS = 80;
/** With the first one alone, no transaction commits in some of the cases. */
const REPEAT_EVERY = [7, 11];
const OUTCOME_UNKNOWN = '08007';
const TRANSACTION_LOST = '57P03';
const SERVER = `${GROUP}-1`;
/** What the client library says after a FATAL error between two statements, which is how a lost transaction is reported. */
const CLIENT_ENDED = 'Client has encountered a connection error and is not queryable';

let testCluster: TestCluster;
let cluster: Cluster;

beforeAll(async () => {
  testCluster = await startTestCluster({ controlCount: 1, entryCount: 1, serversPerGroup: 1 });
  cluster = testCluster.cluster;
  await withClient(cluster, 0, async (client) => {
    for (const id of ['x', 'y', 'z'])
      await client.query('INSERT INTO bookings VALUES ($1, $2)', [id, `lens of ${id}`]);
  });
});

afterAll(() => testCluster.remove());

/** Returns how many copies the server has sent so far. */
async function setFaults(faults: Readonly<Record<string, unknown>>): Promise<number> {
  const { commandAddress } = cluster.plan.servers[0] ?? { commandAddress: '' };
  const answer = await requestJson('POST', `http://${commandAddress}/faults`, faults, 5_000);
  const { copyCount } = (answer ?? {}) as { readonly copyCount?: number };
  if (copyCount === undefined) throw new Error('the server did not take the faults');
  return copyCount;
}

/** What callers saw while the server answered twice. */
interface Observations {
  readonly wrong: string[];
  readonly outcomes: Map<string, number>;
  /** Outcome of each inserted id: `acknowledged` or an SQLSTATE. */
  readonly inserts: Map<string, string>;
}

/** Runs one query; `expected` is the only answer that is right. Returns the answer's outcome. */
async function observe(
  { wrong, outcomes }: Observations,
  name: string,
  query: Promise<pg.QueryResult>,
  expected: string,
): Promise<string> {
  const outcome = await query.then(({ rows, command }) => {
    const got = rows.length === 0 ? command : JSON.stringify(rows);
    if (got !== expected) wrong.push(`${name}: expected ${expected}, got ${got}`);
    return 'answered';
  }, readOutcome);
  const key = `${name.replaceAll(/ .*/g, '')}: ${outcome}`;
  outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
  return outcome;
}

function readOutcome(error: unknown): string {
  const sqlState = sqlStateOf(error);
  return sqlState === CLIENT_ENDED ? TRANSACTION_LOST : sqlState;
}

const lensOf = (id: string) => JSON.stringify([{ lens: `lens of ${id}` }]);

async function readEach(client: pg.Client, seen: Observations, kind: string): Promise<void> {
  for (const id of ['x', 'y', 'z']) {
    const text = `SELECT lens FROM bookings WHERE id = '${id}'`;
    await observe(seen, `${kind} ${id}`, client.query(text), lensOf(id));
    const bound = client.query('SELECT lens FROM bookings WHERE id = $1', [id]);
    await observe(seen, `${kind} $1 ${id}`, bound, lensOf(id));
    const name = 'lens-by-id';
    const named = { name, text: 'SELECT lens FROM bookings WHERE id = $1', values: [id] };
    await observe(seen, `${kind} named ${id}`, client.query(named), lensOf(id));
  }
}

async function insert(client: pg.Client, seen: Observations, id: string): Promise<void> {
  const text = 'INSERT INTO bookings VALUES ($1, $2) RETURNING id';
  const query = client.query(text, [id, 'new']);
  const outcome = await observe(seen, `insert ${id}`, query, JSON.stringify([{ id }]));
  seen.inserts.set(id, outcome);
}

async function changeSetting(client: pg.Client, seen: Observations, round: number): Promise<void> {
  const value = `ms ${round}`;
  const set = client.query(`SET work_mem = '${value}'`);
  if ((await observe(seen, 'set', set, 'SET')) !== 'answered') return;
  const expected = JSON.stringify([{ work_mem: value }]);
  await observe(seen, 'show', client.query('SHOW work_mem'), expected);
}

/** Runs a transaction on a client of its own, because the loss of a transaction ends its client. */
async function runTransaction(seen: Observations, id: string): Promise<void> {
  await withClient(cluster, 0, async (client) => {
    if ((await observe(seen, 'begin', client.query('BEGIN'), 'BEGIN')) !== 'answered') return;
    const text = `INSERT INTO bookings VALUES ('${id}', 'new') RETURNING id`;
    const written = await observe(seen, 'write', client.query(text), JSON.stringify([{ id }]));
    seen.inserts.set(id, written);
    if (written !== 'answered') return;
    for (const read of ['x', 'y']) {
      const query = client.query(`SELECT lens FROM bookings WHERE id = '${read}'`);
      const outcome = await observe(seen, `transaction-read ${read}`, query, lensOf(read));
      seen.inserts.set(id, outcome);
      if (outcome !== 'answered') return;
    }
    seen.inserts.set(id, await observe(seen, 'commit', client.query('COMMIT'), 'COMMIT'));
  });
}

async function countInserts(): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  for (const { changes } of await fetchServerLog(cluster, SERVER)) {
    for (const change of changes) {
      if (change.kind === 'insert') counts.set(change.key, (counts.get(change.key) ?? 0) + 1);
    }
  }
  return counts;
}

const MOMENTS = ['at-once', 'while-unused', 'before-next'] as const;
const CASES = MOMENTS.flatMap((moment) => [
  { moment, part: 'first' },
  { moment, part: 'all' },
]);

// Guards against an answer that a server repeats and that is taken for the answer to another request (MIXED of the incident).
describe('a server that repeats its answers', () => {
  it.each(CASES)('$moment, $part, gives no caller a foreign answer', async ({ moment, part }) => {
    const seen: Observations = { wrong: [], outcomes: new Map(), inserts: new Map() };
    const client = await connect(cluster, 0);
    const copiesBefore = await setFaults({ repeatsAnswers: 'never' });
    const hasCommitted = () => seen.outcomes.has('commit: answered');
    const isEnough = (round: number) => round >= MIN_ROUNDS && hasCommitted();
    for (let round = 0; round < MAX_ROUNDS && !isEnough(round); round += 1) {
      const id = `${moment}-${part}-${round}`;
      const repeatEvery = REPEAT_EVERY[round % REPEAT_EVERY.length];
      await setFaults({ repeatsAnswers: moment, repeatedAnswers: part, repeatEvery });
      await readEach(client, seen, 'read');
      await insert(client, seen, `${id}-1`);
      await insert(client, seen, `${id}-2`);
      await changeSetting(client, seen, round);
      await delay(30);
      await runTransaction(seen, `${id}-tx`);
    }
    const copyCount = (await setFaults({ repeatsAnswers: 'never' })) - copiesBefore;
    await client.end();
    expect(copyCount).toBeGreaterThan(0);
    expect(seen.wrong).toEqual([]);
    expect([...seen.inserts.values()]).toContain('answered');
    expect([...seen.outcomes.keys()]).toContain('commit: answered');
    const written = await countInserts();
    for (const [id, outcome] of seen.inserts) {
      if (outcome === 'answered') expect([id, written.get(id)]).toEqual([id, 1]);
      else if (outcome === TRANSACTION_LOST) expect([id, written.get(id)]).toEqual([id, undefined]);
      else expect([id, outcome]).toEqual([id, OUTCOME_UNKNOWN]);
    }
    for (const key of seen.outcomes.keys()) {
      if (/^(read|show)/.test(key)) expect(key).toMatch(/: answered$/);
    }
    console.log(`${moment} ${part}: ${JSON.stringify(Object.fromEntries(seen.outcomes))}`);
    await withClient(cluster, 0, async (fresh) => {
      await readEach(fresh, seen, 'read');
    });
    expect(seen.wrong).toEqual([]);
  });

  // Guards against the rest of a lost transaction that is run, and committed, outside of it.
  it('ends the session of a transaction that is lost in the answer to a write', async () => {
    await setFaults({ repeatsAnswers: 'before-next', repeatedAnswers: 'first', repeatEvery: 1 });
    const client = await connect(cluster, 0);
    await client.query('BEGIN');
    const insert = (id: string) => client.query(`INSERT INTO bookings VALUES ('${id}', 'new')`);
    expect(await insert('lost-1').then(() => 'answered', sqlStateOf)).toBe(TRANSACTION_LOST);
    expect(
      await insert('lost-2').then(
        () => 'answered',
        () => 'refused',
      ),
    ).toBe('refused');
    await setFaults({ repeatsAnswers: 'never' });
    const written = await countInserts();
    expect([written.get('lost-1'), written.get('lost-2')]).toEqual([undefined, undefined]);
    await client.end().catch(() => undefined);
  });
});
