/** What the commands on settings do, apart from printing. */
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { parse as parseToml } from 'smol-toml';
import { type CallOutcome, callControl, type ControlAccess } from './control-call.js';

export interface Setting {
  readonly path: string;
  readonly value: unknown;
}

export interface SettingsList {
  readonly revision: number;
  readonly settings: readonly Setting[];
}

export interface HistoryItem {
  readonly revision: number;
  readonly operator: string;
  readonly wallClockMs: number;
  readonly changes: readonly Setting[];
  readonly previous: readonly Setting[];
}

export interface ApplyOptions {
  readonly operationId: string | undefined;
  /** `undefined` reads the present revision first. */
  readonly baseRevision: number | undefined;
  readonly isWaiting: boolean;
  readonly waitMs: number;
}

export async function listSettings(access: ControlAccess): Promise<SettingsList | CallOutcome> {
  const outcome = await callControl(access, 'settings/list', {});
  return outcome.kind === 'ok' ? (outcome.result as SettingsList) : outcome;
}

export function isOutcome(value: object): value is CallOutcome {
  return 'kind' in value;
}

/** Applies changes against a revision; with `isWaiting` returns once they are in force everywhere. */
export async function applyChanges(
  access: ControlAccess,
  changes: readonly Setting[],
  options: ApplyOptions,
): Promise<CallOutcome> {
  let { baseRevision } = options;
  if (baseRevision === undefined) {
    const list = await listSettings(access);
    if (isOutcome(list)) return list;
    baseRevision = list.revision;
  }
  const operationId = options.operationId ?? randomUUID();
  const params = { operationId, baseRevision, changes };
  const applied = await callControl(access, 'settings/apply', params);
  if (applied.kind !== 'ok' || !options.isWaiting) return applied;
  const { revision } = applied.result as { revision: number };
  const waited = await callControl(access, 'settings/await', {
    revision,
    timeoutMs: options.waitMs,
  });
  if (waited.kind !== 'ok') return waited;
  return { kind: 'ok', result: { ...(applied.result as object), ...(waited.result as object) } };
}

/** Reads a TOML file of settings: a table per path, as in `[customers.acme]`. */
export function readSettingsTree(file: string): Setting[] {
  const tree = parseToml(readFileSync(file, 'utf8')) as Record<string, unknown>;
  return Object.entries(tree).flatMap(([root, children]) => flatten(root, children));
}

const DEPTH: Readonly<Record<string, number>> = { keys: 2 };

function flatten(root: string, children: unknown): Setting[] {
  let level: Setting[] = [{ path: root, value: children }];
  for (let depth = 0; depth < (DEPTH[root] ?? 1); depth += 1) {
    level = level.flatMap(({ path, value }) =>
      Object.entries(value as Record<string, unknown>).map(([name, child]) => ({
        path: `${path}/${name}`,
        value: child,
      })),
    );
  }
  return level;
}

/** The changes that turn `present` into `wanted`, within the roots that `wanted` names. */
export function diffSettings(
  present: readonly Setting[],
  wanted: readonly Setting[],
  removesMissing: boolean,
): Setting[] {
  const presentByPath = new Map(present.map(({ path, value }) => [path, value]));
  const changes = wanted.filter(({ path, value }) => {
    return canonical(presentByPath.get(path)) !== canonical(value);
  });
  if (!removesMissing) return changes;
  const roots = new Set(wanted.map(({ path }) => path.split('/')[0]));
  const wantedPaths = new Set(wanted.map(({ path }) => path));
  const removed = present
    .filter(({ path }) => roots.has(path.split('/')[0]) && !wantedPaths.has(path))
    .map(({ path }) => ({ path, value: null }));
  return [...changes, ...removed];
}

function canonical(value: unknown): string {
  if (value === undefined || value === null) return 'null';
  const entries = Object.entries(value as Record<string, unknown>).sort(([left], [right]) =>
    left < right ? -1 : 1,
  );
  return JSON.stringify(entries);
}

/** The changes that bring back the values of an earlier revision, as a new revision. */
export function changesBackTo(history: readonly HistoryItem[], revision: number): Setting[] {
  const earlier = new Map<string, unknown>();
  const later = history.filter((item) => item.revision > revision);
  for (const item of later) {
    for (const { path, value } of item.previous) {
      if (!earlier.has(path)) earlier.set(path, value);
    }
  }
  return [...earlier].map(([path, value]) => ({ path, value }));
}

/** Parses `name=value` words; numbers, booleans and `null` are taken as such, lists as JSON. */
export function parseAssignments(words: readonly string[]): Record<string, unknown> {
  return Object.fromEntries(
    words.map((word) => {
      const equals = word.indexOf('=');
      if (equals < 1) throw new Error(`${word}: expected NAME=VALUE`);
      return [word.slice(0, equals), parseValue(word.slice(equals + 1))];
    }),
  );
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
