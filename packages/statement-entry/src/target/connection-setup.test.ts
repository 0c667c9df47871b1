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

function need(
  values: Record<string, string>,
  body: SetupRequirements['body'] = plain,
): SetupRequirements {
  return { values, valuesKey: valuesKeyOf(values), body };
}

function connection(values: Record<string, string> = {}, names: string[] = []): SetupState {
  return { values, valuesKey: valuesKeyOf(values), prepared: new Set(names) };
}

describe('setting up a connection', () => {
  it.each<{
    name: string;
    has: SetupState;
    needs: SetupRequirements;
    begin?: Parameters<typeof setupOrders>[2];
    expected: string[];
  }>([
    {
      name: 'nothing for a connection that fits',
      has: connection({ a: '1' }),
      needs: need({ a: '1' }),
      expected: [],
    },
    {
      name: 'the values that are missing',
      has: connection({ a: '1' }),
      needs: need({ a: '1', b: '2' }),
      expected: ['set'],
    },
    {
      name: 'a value that differs',
      has: connection({ a: '1' }),
      needs: need({ a: '2' }),
      expected: ['set'],
    },
    {
      name: 'a reset for a value of another session',
      has: connection({ a: '1', z: '9' }),
      needs: need({ a: '1' }),
      expected: ['reset', 'set'],
    },
    {
      name: 'a reset for a session without values',
      has: connection({ z: '9' }),
      needs: need({}),
      expected: ['reset'],
    },
    {
      name: 'a prepared name once',
      has: connection(),
      needs: need({}, prepared),
      expected: ['prepare'],
    },
    {
      name: 'no prepared name twice',
      has: connection({}, ['r_by-item']),
      needs: need({}, prepared),
      expected: [],
    },
    {
      name: 'a prepared name again after a reset',
      has: connection({ z: '9' }, ['r_by-item']),
      needs: need({}, prepared),
      expected: ['reset', 'prepare'],
    },
    {
      name: 'another name for a write of the same shape',
      has: connection({}, ['r_by-item']),
      needs: need({}, { ...prepared, access: 'write' }),
      expected: ['prepare'],
    },
    {
      name: 'the transaction last',
      has: connection(),
      needs: need({ a: '1' }, prepared),
      begin: { isReadOnly: true, after: null },
      expected: ['set', 'prepare', 'begin'],
    },
  ])('takes $name', ({ has, needs, begin, expected }) => {
    expect(setupOrders(needs, has, begin).map(({ kind }) => kind)).toEqual(expected);
  });

  it('leads to just the session’s values and the statement’s name, whatever was there before', () => {
    const values = fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.constantFrom('1', '2'));
    const body = fc.constantFrom<SetupRequirements['body']>(plain, prepared);
    const steps = fc.array(fc.tuple(values, body), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(steps, (sessions) => {
        const server = { values: {} as Record<string, string>, names: new Map<string, string>() };
        const state = connection();
        for (const [wanted, statement] of sessions) {
          for (const order of setupOrders(need(wanted, statement), state, undefined)) {
            carryOut(server, order);
            recordSetup(state, order);
          }
          expect(server.values).toEqual(wanted);
          expect(state.valuesKey).toBe(valuesKeyOf(wanted));
          const run = statementOrder({ tag: 't', body: statement }, null);
          if (run.kind === 'execute') expect(server.names.get(run.name)).toBe('read by-item');
        }
      }),
      { seed: 41 },
    );
  });

  it('gives the same key to the same values in any order, and another to others', () => {
    expect(valuesKeyOf({ a: '1', b: '2' })).toBe(valuesKeyOf({ b: '2', a: '1' }));
    expect(valuesKeyOf({ a: '1,b=2' })).not.toBe(valuesKeyOf({ a: '1', b: '2' }));
  });
});

function carryOut(
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
