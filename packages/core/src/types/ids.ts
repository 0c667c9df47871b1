/** Branded identifiers, so that one kind of id cannot be passed where another is expected. */

declare const brand: unique symbol;

/** A value of type `Value` that carries the name of its kind in the type system only. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name };

export type MemberId = Branded<string, 'MemberId'>;
export type EntryId = Branded<string, 'EntryId'>;
export type Incarnation = Branded<string, 'Incarnation'>;
export type DiskId = Branded<string, 'DiskId'>;
export type GroupName = Branded<string, 'GroupName'>;
export type ServerName = Branded<string, 'ServerName'>;
export type CustomerName = Branded<string, 'CustomerName'>;
export type SessionId = Branded<string, 'SessionId'>;
export type OperationId = Branded<string, 'OperationId'>;

/**
 * Brands a plain value that was already validated.
 *
 * @example
 * const group = brandAs<GroupName>('bookings');
 */
export function brandAs<Target extends Branded<string, string>>(value: string): Target {
  return value as Target;
}
