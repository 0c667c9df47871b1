/** Branded identifier types, so that one kind of id cannot be passed as another. */

declare const brand: unique symbol;

/** A nominal subtype of `Value`; the brand exists only at compile time. */
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
 * The functions below brand a string that was already validated; they perform no checks.
 *
 * @example
 * const group = toGroupName('bookings');
 */
export function toMemberId(value: string): MemberId {
  return value as MemberId;
}

export function toEntryId(value: string): EntryId {
  return value as EntryId;
}

export function toIncarnation(value: string): Incarnation {
  return value as Incarnation;
}

export function toDiskId(value: string): DiskId {
  return value as DiskId;
}

export function toGroupName(value: string): GroupName {
  return value as GroupName;
}

export function toServerName(value: string): ServerName {
  return value as ServerName;
}

export function toCustomerName(value: string): CustomerName {
  return value as CustomerName;
}

export function toSessionId(value: string): SessionId {
  return value as SessionId;
}

export function toOperationId(value: string): OperationId {
  return value as OperationId;
}
