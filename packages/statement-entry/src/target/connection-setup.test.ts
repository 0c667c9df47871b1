import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { TargetOrder } from '../types/target-port.js';
import {
  recordSetup,
  type SetupRequirements,
  setupOrders,
  type SetupState,
  statementOrder,
  valuesKeyOf,
} from './connection-setup.js';

const plain = { kind: 'plain', text: 'READ x' } as const;
const prepared = { kind: 'prepared', access: 'read', shape: 'by-item', argument: 'x' } as const;

function requirements(
  values: Record<string, string>,
  body: SetupRequirements['body'] = plain,
): SetupRequirements {
  return { values, valuesKey: valuesKeyOf(values), body };
}

function setupState(values: Record<string, string> = {}, names: string[] = []): SetupState {
  return { values, valuesKey: valuesKeyOf(values), prepared: new Set(names) };
}

describe('connection setup', () => {
  it.each<{
    name: string;
    has: SetupState;
    needs: SetupRequirements;
    begin?: Parameters<typeof setupOrders>[2];
    expected: string[];
  }>([
    {
      name: 'nothing to a connection that is set up already',
      has: setupState({ a: '1' }),
      needs: requirements({ a: '1' }),
      expected: [],
    },
    {
      name: 'missing values',
      has: setupState({ a: '1' }),
      needs: requirements({ a: '1', b: '2' }),
      expected: ['set'],
    },
    {
      name: 'a value that differs',
      has: setupState({ a: '1' }),
      needs: requirements({ a: '2' }),
      expected: ['set'],
    },
    {
      name: 'a reset to remove a value of another session',
      has: setupState({ a: '1', z: '9' }),
      needs: requirements({ a: '1' }),
      expected: ['reset', 'set'],
    },
    {
      // Guards against PINNED: every object inherits a property of this name.
      name: 'a reset to remove a value named like a property of objects',
      has: setupState({ constructor: '1' }),
      needs: requirements({}),
      expected: ['reset'],
    },
    {
      name: 'a value that is named __proto__',
      has: setupState(),
      needs: requirements({ ['__proto__']: '1' }),
      expected: ['set'],
    },
    {
      name: 'a reset for a session without values',
      has: setupState({ z: '9' }),
      needs: requirements({}),
      expected: ['reset'],
    },
    {
      name: 'a prepare for a missing prepared statement',
      has: setupState(),
      needs: requirements({}, prepared),
      expected: ['prepare'],
    },
    {
      name: 'nothing for an existing prepared statement',
      has: setupState({}, ['r_by-item']),
      needs: requirements({}, prepared),
      expected: [],
    },
    {
      name: 'a prepare after a reset',
      has: setupState({ z: '9' }, ['r_by-item']),
      needs: requirements({}, prepared),
      expected: ['reset', 'prepare'],
    },
    {
      name: 'a prepare for a write of the same shape as a read',
      has: setupState({}, ['r_by-item']),
      needs: requirements({}, { ...prepared, access: 'write' }),
      expected: ['prepare'],
    },
    {
      name: 'begin last',
      has: setupState(),
      needs: requirements({ a: '1' }, prepared),
      begin: { isReadOnly: true, after: null },
      expected: ['set', 'prepare', 'begin'],
    },
  ])('sends $name', ({ has, needs, begin, expected }) => {
    expect(setupOrders(needs, has, begin).map(({ kind }) => kind)).toEqual(expected);
  });

  it('results in exactly the session’s values and the statement’s prepared name, whatever was set up before', () => {
    const values = fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.constantFrom('1', '2'));
    const body = fc.constantFrom<SetupRequirements['body']>(plain, prepared);
    const steps = fc.array(fc.tuple(values, body), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(steps, (sessions) => {
        const server = { values: {} as Record<string, string>, names: new Map<string, string>() };
        const state = setupState();
        for (const [wanted, statement] of sessions) {
          for (const order of setupOrders(requirements(wanted, statement), state, undefined)) {
            applyOrder(server, order);
            recordSetup(state, order);
          }
          expect(server.values).toEqual(wanted);
          expect(state.valuesKey).toBe(valuesKeyOf(wanted));
          const run = statementOrder({ tag: 't', access: 'read', body: statement }, null);
          if (run.kind === 'execute') expect(server.names.get(run.name)).toBe('read by-item');
        }
      }),
      { seed: 41 },
    );
  });

  it('returns equal keys for equal values in any order, and different keys for different values', () => {
    expect(valuesKeyOf({ a: '1', b: '2' })).toBe(valuesKeyOf({ b: '2', a: '1' }));
    expect(valuesKeyOf({ a: '1,b=2' })).not.toBe(valuesKeyOf({ a: '1', b: '2' }));
  });
});

function applyOrder(
  server: { values: Record<string, string>; readonly names: Map<string, string> },
  order: TargetOrder,
): void {
  if (order.kind === 'reset') {
    server.values = {};
    server.names.clear();
  }
  if (order.kind === 'set') server.values = { ...server.values, [order.name]: order.value };
  if (order.kind === 'prepare') server.names.set(order.name, `${order.access} ${order.shape}`);
}
