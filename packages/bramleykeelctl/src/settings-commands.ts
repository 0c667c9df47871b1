/** Reads, compares and changes system settings. */
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
  /** Revision that the changes apply to; `undefined` uses the current revision. */
  readonly baseRevision: number | undefined;
  /** Whether to wait until the changes are in force on all entries. */
  readonly isWaitRequested: boolean;
  readonly waitTimeoutMs: number;
}

export async function listSettings(access: ControlAccess): Promise<SettingsList | CallOutcome> {
  const outcome = await callControl(access, 'settings/list', {});
  return outcome.kind === 'ok' ? (outcome.result as SettingsList) : outcome;
}

export function isCallOutcome(value: object): value is CallOutcome {
  return 'kind' in value;
}

/**
 * Applies changes and, if requested, waits until they are in force on all entries. If that takes longer
 * than `waitTimeoutMs`, the result has `isInForce: false`.
 */
export async function applyChanges(
  access: ControlAccess,
  changes: readonly Setting[],
  options: ApplyOptions,
): Promise<CallOutcome> {
  let { baseRevision } = options;
  if (baseRevision === undefined) {
    const list = await listSettings(access);
    if (isCallOutcome(list)) return list;
    baseRevision = list.revision;
  }
  const operationId = options.operationId ?? randomUUID();
  const params = { operationId, baseRevision, changes };
  const applied = await callControl(access, 'settings/apply', params);
  if (applied.kind !== 'ok' || !options.isWaitRequested) return applied;
  const { revision } = applied.result as { revision: number };
  const awaited = await callControl(access, 'settings/await', {
    revision,
    timeoutMs: options.waitTimeoutMs,
  });
  if (awaited.kind !== 'ok') return awaited;
  return { kind: 'ok', result: { ...(applied.result as object), ...(awaited.result as object) } };
}

/** Reads a TOML file of settings that has one table per path, such as `[customers.acme]`. */
export function readSettingsTree(file: string): Setting[] {
  const tree = parseToml(readFileSync(file, 'utf8')) as Record<string, unknown>;
  return Object.entries(tree).flatMap(([root, children]) => flatten(root, children));
}

/** Number of path segments below the root; 1 for roots that are not listed. */
const PATH_DEPTH_BY_ROOT: Readonly<Record<string, number>> = { keys: 2 };

function flatten(root: string, children: unknown): Setting[] {
  let level: Setting[] = [{ path: root, value: children }];
  for (let depth = 0; depth < (PATH_DEPTH_BY_ROOT[root] ?? 1); depth += 1) {
    level = level.flatMap(({ path, value }) =>
      Object.entries(value as Record<string, unknown>).map(([name, child]) => ({
        path: `${path}/${name}`,
        value: child,
      })),
    );
  }
  return level;
}

/**
 * Returns the changes that turn `current` into `desired`. With `removesMissing`, these include removals
 * of settings that are not in `desired`, limited to roots that occur in `desired`.
 */
export function diffSettings(
  current: readonly Setting[],
  desired: readonly Setting[],
  removesMissing: boolean,
): Setting[] {
  const currentByPath = new Map(current.map(({ path, value }) => [path, value]));
  const changes = desired.filter(({ path, value }) => {
    return toCanonicalJson(currentByPath.get(path)) !== toCanonicalJson(value);
  });
  if (!removesMissing) return changes;
  const roots = new Set(desired.map(({ path }) => path.split('/')[0]));
  const desiredPaths = new Set(desired.map(({ path }) => path));
  const removed = current
    .filter(({ path }) => roots.has(path.split('/')[0]) && !desiredPaths.has(path))
    .map(({ path }) => ({ path, value: null }));
  return [...changes, ...removed];
}

function toCanonicalJson(value: unknown): string {
  if (value === undefined || value === null) return 'null';
  const entries = Object.entries(value as Record<string, unknown>).sort(([left], [right]) =>
    left < right ? -1 : 1,
  );
  return JSON.stringify(entries);
}

/** Returns the changes that restore the values of an earlier revision; `history` is oldest first. */
export function changesToRestore(history: readonly HistoryItem[], revision: number): Setting[] {
  const earlier = new Map<string, unknown>();
  const later = history.filter((item) => item.revision > revision);
  for (const item of later) {
    for (const { path, value } of item.previous) {
      if (!earlier.has(path)) earlier.set(path, value);
    }
  }
  return [...earlier].map(([path, value]) => ({ path, value }));
}

/**
 * Parses `name=value` arguments. A value that is valid JSON is parsed as such, any other is a string.
 *
 * @throws when an argument is not of this form
 */
export function parseAssignments(args: readonly string[]): Record<string, unknown> {
  return Object.fromEntries(
    args.map((arg) => {
      const separatorIndex = arg.indexOf('=');
      if (separatorIndex < 1) throw new Error(`${arg}: expected NAME=VALUE`);
      return [arg.slice(0, separatorIndex), parseValue(arg.slice(separatorIndex + 1))];
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
