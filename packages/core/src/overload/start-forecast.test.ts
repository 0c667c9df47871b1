import { describe, expect, it } from 'vitest';
import type { LoadAccess, ServiceTime } from '../route/server-load.js';
import { type ForecastServer, forecastStart } from './start-forecast.js';

const createServer = (freePlaces: number, meanMs: number, sampleCount = 20): ForecastServer => ({
  slots: 4,
  freePlaces,
  service: new Map<LoadAccess, ServiceTime>([
    ['write', { meanMs, spreadMs: 0, sampleCount, atMs: 0 }],
  ]),
});

const startInMs = (
  servers: readonly ForecastServer[],
  ahead: Parameters<typeof forecastStart>[0]['ahead'] = [],
  fields: Partial<Parameters<typeof forecastStart>[0]> = {},
) => forecastStart({ servers, access: 'write', ahead, lesserShare: 0, ...fields })?.startInMs;

describe('the forecast of a start', () => {
  it('predicts nothing before 20 answers of a server, so that nothing is refused after a change of owner', () => {
    const busy = createServer(0, 6, 19);
    const ahead = [{ servers: [busy], access: 'write', count: 400 }] as const;
    expect(startInMs([busy], ahead)).toBeUndefined();
    expect(startInMs([])).toBeUndefined();
  });

  it.each([
    { name: 'is now with a free place', freePlaces: 1, count: 0, expected: 0 },
    {
      name: 'is now if the places suffice for what is ahead',
      freePlaces: 4,
      count: 3,
      expected: 0,
    },
    { name: 'waits for the first of four to end', freePlaces: 0, count: 0, expected: 1.5 },
    { name: 'waits for the work ahead', freePlaces: 0, count: 40, expected: 61.5 },
  ])('$name', ({ freePlaces, count, expected }) => {
    const primary = createServer(freePlaces, 6);
    const ahead = [{ servers: [primary], access: 'write', count }] as const;
    expect(startInMs([primary], ahead)).toBeCloseTo(expected);
  });

  it('expects work that replicas may run to avoid a primary with work of its own', () => {
    const primary = createServer(0, 6);
    const replicas = [createServer(0, 6), createServer(0, 6)];
    const all = [primary, ...replicas];
    const ahead = [
      { servers: all, access: 'read', count: 80 },
      { servers: [primary], access: 'write', count: 40 },
    ] as const;
    expect(startInMs([primary], ahead)).toBeCloseTo(61.5);
    expect(startInMs(all, ahead)).toBeCloseTo(61.5);
  });

  it('includes more urgent statements that arrive meanwhile, up to the part that its priority has', () => {
    const primary = createServer(0, 6);
    const ahead = [
      { servers: [primary], access: 'write', count: 40, arrivingPerMs: 0.333 },
    ] as const;
    const arriving = startInMs([primary], ahead) ?? 0;
    expect(arriving).toBeGreaterThan(110);
    const guaranteed = { share: 1 / 8, countAhead: 4 };
    expect(startInMs([primary], ahead, { guaranteed })).toBeCloseTo(60);
  });

  it('leaves a part of the starts to less urgent statements', () => {
    const primary = createServer(0, 6);
    const ahead = [{ servers: [primary], access: 'write', count: 40 }] as const;
    expect(startInMs([primary], ahead, { lesserShare: 1 / 8 })).toBeCloseTo(61.5 / 0.875);
  });
});
