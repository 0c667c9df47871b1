/** TOML settings files of the daemons, validated before any socket or data file is opened. */
import { readFileSync } from 'node:fs';
import { type Either, Left, Right } from 'purify-ts';
import { parse as parseToml } from 'smol-toml';
import { z } from 'zod';
import { nearestName } from '../shared/nearest-name.js';

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9_-]{0,62}$/, 'expected a lower-case name');
const addressSchema = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected IP:PORT');
const durationMs = (fallback: number) => z.int().positive().max(3_600_000).default(fallback);

const controlMemberSchema = z.strictObject({
  id: nameSchema,
  linkAddress: addressSchema,
  adminAddress: addressSchema,
});

const statsdSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.int().positive().max(65_535).default(8125),
});

/** Timing settings shared by control and entries, in milliseconds. */
export const timingSchema = z.strictObject({
  leaseMs: durationMs(2_000),
  /** Lease of entries on instances that are too narrow to own groups; `leaseMs` if absent. */
  longLeaseMs: z.int().positive().max(3_600_000).optional(),
  driftMarginMs: durationMs(200),
  settingsLeaseMs: durationMs(5_000),
  renewEveryMs: durationMs(300),
  heartbeatMs: durationMs(100),
  electionTimeoutMinMs: durationMs(400),
  electionTimeoutMaxMs: durationMs(800),
});

export const controlSettingsSchema = z.strictObject({
  control: z.strictObject({
    id: nameSchema,
    dataFolder: z.string().min(1),
    /** SHA-256 of the token of the operator `bootstrap`, who may change the whole tree. */
    bootstrapTokenSha256Hex: z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hex digits'),
    snapshotEveryEntries: z.int().positive().default(1_000),
  }),
  members: z.array(controlMemberSchema).min(1).max(7),
  link: z.strictObject({ secret: z.string().min(16).max(256) }),
  timing: timingSchema.prefault({}),
  statsd: statsdSchema.optional(),
});

export const entrySettingsSchema = z.strictObject({
  entry: z.strictObject({
    id: nameSchema,
    zone: nameSchema,
    callerAddress: addressSchema,
    linkAddress: addressSchema,
    announceAddress: addressSchema,
    maxCallers: z.int().positive().max(200_000).default(5_000),
    maxMessageBytes: z.int().positive().default(16_777_216),
    tlsCertificateFile: z.string().optional(),
    tlsKeyFile: z.string().optional(),
  }),
  limits: z
    .strictObject({
      /** Descriptors that the process may have open; the limit of the system if absent. */
      maxDescriptors: z.int().positive().optional(),
      /** Megabytes that callers may make the process hold. */
      budgetMb: z.number().positive().optional(),
      /** Time in which a caller has to finish a message that it has begun. */
      messageTimeoutMs: durationMs(30_000),
    })
    .prefault({}),
  members: z.array(controlMemberSchema).min(1).max(7),
  link: z.strictObject({ secret: z.string().min(16).max(256) }),
  targets: z
    .strictObject({
      user: z.string().min(1).default('bramleykeel'),
      password: z.string().default(''),
      connectTimeoutMs: durationMs(1_000),
      silentAfterMs: durationMs(1_500),
      idleCheckMs: durationMs(2_000),
      probeEveryMs: durationMs(250),
      suspectAfterMs: durationMs(1_000),
      staleAnnouncementMs: durationMs(3_000),
      /** If set, targets must send this token with each announcement. */
      announceToken: z.string().min(8).optional(),
    })
    .prefault({}),
  requests: z
    .strictObject({
      maxWaitingPerCustomer: z.int().positive().default(200),
      queueTimeoutMs: durationMs(2_000),
      /** How long a request waits while its group has no primary or no owner. */
      failoverWaitMs: durationMs(8_000),
      replicaWaitMs: durationMs(20),
      /** How long a write waits for a quorum before its outcome is reported as unknown. */
      coverTimeoutMs: durationMs(5_000),
      rateWaitMs: durationMs(500),
      idleTransactionMs: durationMs(60_000),
      stopGraceMs: durationMs(10_000),
    })
    .prefault({}),
  timing: timingSchema.prefault({}),
  statsd: statsdSchema.optional(),
});

export type ControlSettings = z.infer<typeof controlSettingsSchema>;
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type TimingSettings = z.infer<typeof timingSchema>;
export type ControlMemberAddress = z.infer<typeof controlMemberSchema>;
export type StatsdSettings = z.infer<typeof statsdSchema>;

/** An invalid settings file; each problem names the key and the expected value. */
export interface SettingsFileError {
  readonly file: string;
  readonly problems: readonly string[];
}

/**
 * Reads and validates a settings file.
 *
 * @example
 * readSettingsFile('entry.toml', entrySettingsSchema); // Right(settings) or Left(error)
 */
export function readSettingsFile<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Either<SettingsFileError, z.infer<Schema>> {
  return readText(file).chain((text) => checkSettingsText(file, text, schema));
}

/** Validates the text of a settings file; `file` is used only in error messages. */
export function checkSettingsText<Schema extends z.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): Either<SettingsFileError, z.infer<Schema>> {
  let tree: unknown;
  try {
    tree = parseToml(text);
  } catch (error) {
    return Left({ file, problems: [error instanceof Error ? error.message : String(error)] });
  }
  const parsed = schema.safeParse(tree);
  if (parsed.success) return Right(parsed.data);
  return Left({
    file,
    problems: parsed.error.issues.flatMap((issue) => describeIssue(issue, schema)),
  });
}

/** Formats a settings error as the lines that the daemons print before they exit with status 2. */
export function formatSettingsError(error: SettingsFileError): string {
  return error.problems.map((problem) => `${error.file}: ${problem}`).join('\n');
}

function readText(file: string): Either<SettingsFileError, string> {
  try {
    return Right(readFileSync(file, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Left({ file, problems: [`cannot be read: ${reason}`] });
  }
}

function describeIssue(issue: z.core.$ZodIssue, schema: z.ZodType): string[] {
  const path = issue.path.map(String);
  if (issue.code !== 'unrecognized_keys') {
    return [`${path.join('.') || '(top level)'}: ${issue.message}`];
  }
  const known = knownKeys(schema, path);
  return issue.keys.map((key) => {
    const nearest = nearestName(key, known);
    const hint = nearest === undefined ? '' : `; did you mean ${nearest}?`;
    return `${[...path, key].join('.')}: unknown key${hint}`;
  });
}

/** The keys that the schema defines at `path`, inside optional and default wrappers. */
function knownKeys(schema: z.ZodType, path: readonly string[]): string[] {
  let current: unknown = unwrapSchema(schema);
  for (const step of path) {
    if (current instanceof z.ZodObject) current = unwrapSchema(current.shape[step]);
    else if (current instanceof z.ZodArray) current = unwrapSchema(current.element);
  }
  return current instanceof z.ZodObject ? Object.keys(current.shape) : [];
}

function unwrapSchema(schema: unknown): unknown {
  let current = schema;
  while (
    current instanceof z.ZodDefault ||
    current instanceof z.ZodPrefault ||
    current instanceof z.ZodOptional
  ) {
    current = current.unwrap();
  }
  return current;
}
