/** Whether a caller may work: its route, its key, and how fresh the settings are that say so. */
import {
  type CustomerName,
  type StatementCustomer,
  type StatementRefusalReason,
  type StatementRoute,
  toCustomerName,
} from '@bramleykeel/core';
import type { CallerSession, SessionEnvironment } from './session-state.js';

/** What a caller is admitted with. */
export interface Access {
  readonly route: StatementRoute;
  readonly customer: CustomerName;
}

/** The customer's name at servers for callers of routes that are open to all. */
export const OPEN_CUSTOMER = toCustomerName('-');

/**
 * Checks what a caller connects with.
 *
 * @returns the reason of the refusal, or `undefined` when the session may start
 */
export function checkStart(
  environment: SessionEnvironment,
  database: string,
  key: string | undefined,
): StatementRefusalReason | undefined {
  const access = findAccess(environment, database, key);
  return typeof access === 'string' ? access : undefined;
}

/** Whether the session's key has been withdrawn, by the settings in force here. */
export function isWithdrawn({ environment, database, key }: CallerSession): boolean {
  const settings = environment.settings();
  if (!settings || settings.routes.get(database)?.isOpenToAll === true) return false;
  return key === undefined || !settings.customerByKey.has(key);
}

/** Finds the route and the customer of a caller, or why it may not work now. */
export function findAccess(
  environment: SessionEnvironment,
  database: string,
  key: string | undefined,
): Access | StatementRefusalReason {
  const settings = environment.settings();
  // Looked at for open routes too: it notices a suspension, after which old offers mean nothing.
  const isFresh = environment.hasFreshSettings();
  if (!settings) return 'settings-lease-expired';
  const route = settings.routes.get(database);
  if (!route) return 'unknown-database';
  const known: StatementCustomer | undefined =
    key === undefined ? undefined : settings.customerByKey.get(key);
  if (route.isOpenToAll) return { route, customer: known?.name ?? OPEN_CUSTOMER };
  if (!isFresh) return 'settings-lease-expired';
  if (!known) return 'key-rejected';
  return { route, customer: known.name };
}
