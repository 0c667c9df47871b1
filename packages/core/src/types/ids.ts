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
 * Each of these brands a plain value that was already validated.
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
