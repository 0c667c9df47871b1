/** Announcements sent by targets, and commands sent to targets. */
import { z } from 'zod';
import type { GroupName, Incarnation, ServerName } from './ids.js';
import type { LogPosition } from './position.js';

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9_-]{0,62}$/, 'expected a lower-case name');
const positionSchema = z.object({
  term: z.int().nonnegative(),
  offset: z.int().nonnegative(),
});

/** JSON body of an announcement that a target sends over HTTP. */
export const announcementSchema = z.strictObject({
  group: nameSchema.transform((value) => value as GroupName),
  server: nameSchema.transform((value) => value as ServerName),
  incarnation: z
    .string()
    .min(1)
    .max(64)
    .transform((value) => value as Incarnation),
  sequence: z.int().nonnegative(),
  address: z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'expected IP:PORT'),
  commandUrl: z.url({ protocol: /^http$/ }),
  zone: z.string().min(1).max(64),
  role: z.enum(['primary', 'replica']),
  /** Term of the primary that this server is or follows. */
  term: z.int().nonnegative(),
  position: positionSchema,
  slots: z.int().positive().max(10_000),
  connections: z.int().positive().max(100_000),
  isLeaving: z.boolean(),
});

export type Announcement = z.infer<typeof announcementSchema>;

/** Answer of a target to a fence command. */
export const fenceAnswerSchema = z.object({
  promisedTerm: z.int().nonnegative(),
  position: positionSchema,
});

/** A command from a group's owner to a target. */
export type TargetCommand =
  | { readonly kind: 'fence'; readonly term: number }
  | { readonly kind: 'promote'; readonly term: number }
  | { readonly kind: 'follow'; readonly term: number; readonly primaryCommandUrl: string };

/** A target's promise to reject all terms below `promisedTerm`, with the end of its log. */
export interface FencePromise {
  readonly server: ServerName;
  readonly promisedTerm: number;
  readonly position: LogPosition;
}
