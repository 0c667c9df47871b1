/** Decides whether a caller is admitted, by its route, its key and the freshness of the settings. */
import {
  type CustomerName,
  effectiveHomes,
  type Homes,
  type StatementCustomer,
  type StatementRefusalReason,
  type StatementRoute,
  type StatementSettings,
  toCustomerName,
} from '@bramleykeel/core';
import type { CallerSession, SessionEnvironment } from './session-state.js';

/** The route and customer that a caller is admitted under. */
export interface CallerAccess {
  readonly route: StatementRoute;
  readonly customer: CustomerName;
}

/** Customer name that servers see for callers without a valid key on routes that are open to all. */
export const ANONYMOUS_CUSTOMER = toCustomerName('-');

/**
 * Checks the database and key that a caller connects with.
 *
 * @returns the reason for refusal, or `undefined` if the session may start
 */
export function checkSessionStart(
  environment: SessionEnvironment,
  database: string,
  key: string | undefined,
): StatementRefusalReason | undefined {
  const admission = findAdmission(environment, database, key);
  return typeof admission === 'string' ? admission : undefined;
}

/**
 * The homes of a caller's statements, by the settings in force on this entry; the reason for refusal if its route and
 * customer have none in common.
 */
export function findHomes(
  environment: Pick<SessionEnvironment, 'settings'>,
  database: string,
  customer: CustomerName,
): Homes | StatementRefusalReason {
  const settings = environment.settings();
  const route = settings?.routes.get(database);
  if (!route) return null;
  const homes = effectiveHomes(route, settings?.customers.get(customer));
  // Runs for each statement, where pattern matching by closures is measurable.
  switch (homes.kind) {
    case 'anywhere':
      return null;
    case 'regions':
      return homes.regions;
    case 'none':
      return 'no-home-server';
  }
}

/** Whether the session's key has been withdrawn, according to the settings in force on this entry. */
export function isKeyWithdrawn({ environment, database, key }: CallerSession): boolean {
  const settings = environment.settings();
  if (!settings || settings.routes.get(database)?.isOpenToAll === true) return false;
  return key === undefined || !settings.customerByKey.has(key);
}

/** Finds the route and customer of a caller; returns the reason for refusal if it is not admitted. */
export function findAdmission(
  environment: SessionEnvironment,
  database: string,
  key: string | undefined,
): CallerAccess | StatementRefusalReason {
  return admitCustomer(environment, database, ({ customerByKey }) =>
    key === undefined ? undefined : customerByKey.get(key),
  );
}

/** As {@link findAdmission}, for a customer that is found in the settings by `findCustomer`. */
export function admitCustomer(
  environment: Pick<SessionEnvironment, 'settings' | 'hasFreshSettings'>,
  database: string,
  findCustomer: (settings: StatementSettings) => StatementCustomer | undefined,
): CallerAccess | StatementRefusalReason {
  const settings = environment.settings();
  // Called for open routes too: it detects a suspension, after which offers of near reads are invalid.
  const areSettingsFresh = environment.hasFreshSettings();
  if (!settings) return 'settings-lease-expired';
  const route = settings.routes.get(database);
  if (!route) return 'unknown-database';
  const customer = findCustomer(settings);
  if (route.isOpenToAll) return { route, customer: customer?.name ?? ANONYMOUS_CUSTOMER };
  if (!areSettingsFresh) return 'settings-lease-expired';
  if (!customer) return 'key-rejected';
  return { route, customer: customer.name };
}
