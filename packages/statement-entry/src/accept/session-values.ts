/** Values and prepared statements that a session keeps, within a bound. */
import type { CallerSession } from './session-state.js';

/** Characters that a session may keep; well-behaved callers keep a few short values and shapes. */
export const MAX_SESSION_STATE_BYTES = 256 * 1024;

/** Sets a value; returns whether the session's bound allows it. */
export function setValue(session: CallerSession, name: string, value: string): boolean {
  // Every object inherits values for some names.
  const current = Object.hasOwn(session.values, name) ? session.values[name] : undefined;
  const change = value.length - (current === undefined ? -name.length : current.length);
  if (!growState(session, change)) return false;
  session.values = { ...session.values, [name]: value };
  return true;
}

/** Keeps a prepared statement; returns whether the session's bound allows it. */
export function prepareStatement(
  session: CallerSession,
  name: string,
  prepared: { readonly access: 'read' | 'write'; readonly shape: string },
): boolean {
  const current = session.prepared.get(name);
  const change = prepared.shape.length - (current ? current.shape.length : -name.length);
  if (!growState(session, change)) return false;
  session.prepared.set(name, prepared);
  return true;
}

export function dropPrepared(session: CallerSession, name: string): void {
  const current = session.prepared.get(name);
  if (!current) return;
  session.prepared.delete(name);
  growState(session, -name.length - current.shape.length);
}

function growState(session: CallerSession, change: number): boolean {
  const bytes = session.stateBytes + change;
  if (change > 0 && bytes > MAX_SESSION_STATE_BYTES) return false;
  session.stateBytes = bytes;
  session.port.keepState(bytes);
  return true;
}
