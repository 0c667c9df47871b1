/** The settings tree: the kinds of path it has and the schema of the value at each. */
import { type Either, Left, Right } from 'purify-ts';
import { z } from 'zod';
import { smallestBurst } from '../admit/token-bucket.js';
import { nearestName } from '../shared/nearest-name.js';

const NAME = '[a-z0-9][a-z0-9_-]{0,62}';

export const customerSchema = z
  .strictObject({
    /** Sustained statements per second over all instances together. */
    ratePerSecond: z.number().positive().max(10_000_000),
    /** Statements that may come at once above the rate. */
    burst: z.int().positive().max(10_000_000),
    /** How stale a replica read may be, in milliseconds; `null` asks for the session mark only. */
    readAgeAllowanceMs: z.number().nonnegative().nullable().default(null),
  })
  .refine(({ ratePerSecond, burst }) => burst >= smallestBurst(ratePerSecond), {
    path: ['burst'],
    error: 'expected at least 2, and a tenth of the rate plus one',
  });

export const keySchema = z.strictObject({
  sha256Hex: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hex digits'),
});

export const groupSchema = z.strictObject({
  /** `quorum`: a write is acknowledged once most servers have it; `primary`: at once. */
  acknowledgement: z.enum(['quorum', 'primary']).default('quorum'),
  /** Customer that callers without a key run as, when the route is open to all. */
  openToAllAs: z
    .string()
    .regex(new RegExp(`^${NAME}$`))
    .nullable()
    .default(null),
});

export const operatorSchema = z.strictObject({
  tokenSha256Hex: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hex digits'),
  /** Path prefixes that this operator may change; `""` is the whole tree. */
  subtrees: z.array(z.string().max(200)).max(100),
});

export type CustomerSetting = z.infer<typeof customerSchema>;
export type KeySetting = z.infer<typeof keySchema>;
export type GroupSetting = z.infer<typeof groupSchema>;
export type OperatorSetting = z.infer<typeof operatorSchema>;
export type SettingValue = CustomerSetting | KeySetting | GroupSetting | OperatorSetting;

interface PathKind {
  readonly form: string;
  readonly pattern: RegExp;
  readonly schema: z.ZodType<SettingValue>;
}

const PATH_KINDS: readonly PathKind[] = [
  { form: 'customers/NAME', pattern: new RegExp(`^customers/${NAME}$`), schema: customerSchema },
  { form: 'keys/CUSTOMER/ID', pattern: new RegExp(`^keys/${NAME}/${NAME}$`), schema: keySchema },
  { form: 'groups/NAME', pattern: new RegExp(`^groups/${NAME}$`), schema: groupSchema },
  { form: 'operators/NAME', pattern: new RegExp(`^operators/${NAME}$`), schema: operatorSchema },
];

/** A setting that was refused: where, and what was expected. */
export interface SettingProblem {
  readonly path: string;
  readonly reason: string;
}

/**
 * Checks one value against the schema of its path.
 *
 * @example
 * checkSetting('customers/acme', { ratePerSecond: 100, burst: 50 }); // Right({...})
 */
export function checkSetting(path: string, value: unknown): Either<SettingProblem, SettingValue> {
  const kind = PATH_KINDS.find((candidate) => candidate.pattern.test(path));
  if (!kind) return Left({ path, reason: unknownPathReason(path) });
  const parsed = kind.schema.safeParse(value);
  if (parsed.success) return Right(parsed.data);
  return Left({ path, reason: describeIssues(parsed.error) });
}

/** Writes the first schema problem as `key: what was expected`. */
export function describeIssues(error: z.ZodError): string {
  return error.issues
    .map((issue) => {
      const key = issue.path.map(String).join('.');
      return key === '' ? issue.message : `${key}: ${issue.message}`;
    })
    .join('; ');
}

function unknownPathReason(path: string): string {
  const forms = PATH_KINDS.map((kind) => kind.form);
  const roots = forms.map((form) => form.split('/')[0] ?? form);
  const nearest = nearestName(path.split('/')[0] ?? '', roots);
  const hint = nearest === undefined ? '' : `; did you mean ${nearest}?`;
  return `unknown path, expected one of ${forms.join(', ')}${hint}`;
}

/** Tells whether `path` lies in the subtree `prefix`, on whole path segments. */
export function isInSubtree(path: string, prefix: string): boolean {
  if (prefix === '') return true;
  return path === prefix || path.startsWith(`${prefix}/`);
}
