/** The settings tree: the supported paths and the schema of the value at each. */
import { type Either, Left, Right } from 'purify-ts';
import { z } from 'zod';
import { smallestBurst } from '../admit/token-bucket.js';
import { nearestName } from '../shared/nearest-name.js';

const NAME = '[a-z0-9][a-z0-9_-]{0,62}';

export const customerSchema = z
  .strictObject({
    /** Sustained rate in statements per second, summed over all instances. */
    ratePerSecond: z.number().positive().max(10_000_000),
    /** Number of statements that may exceed the rate in a burst. */
    burst: z.int().positive().max(10_000_000),
    /** Maximum staleness of replica reads, in milliseconds; `null` requires only the session mark. */
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
  /** `quorum`: writes are acknowledged once a majority of servers has them; `primary`: immediately. */
  acknowledgement: z.enum(['quorum', 'primary']).default('quorum'),
  /** Customer used for callers without a key, if the route is open to all. */
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

/** A rejected setting: its path and the expected value. */
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

/** Formats all schema problems as `key: message`, separated by `; `. */
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

/** Whether `path` is in the subtree `prefix`, compared by whole path segments. */
export function isInSubtree(path: string, prefix: string): boolean {
  if (prefix === '') return true;
  return path === prefix || path.startsWith(`${prefix}/`);
}
