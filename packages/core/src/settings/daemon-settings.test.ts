import { describe, expect, it } from 'vitest';
import { checkSettingsText, entrySettingsSchema, formatSettingsError } from './daemon-settings.js';

const VALID_SETTINGS = `
[entry]
id = "e1"
zone = "zone-a"
callerAddress = "127.0.0.1:1"
linkAddress = "127.0.0.1:2"
announceAddress = "127.0.0.1:3"
[[members]]
id = "c1"
linkAddress = "127.0.0.1:4"
adminAddress = "127.0.0.1:5"
[link]
secret = "0123456789abcdef"
`;

function problemOf(text: string): string {
  const checked = checkSettingsText('entry.toml', text, entrySettingsSchema);
  return checked.isLeft() ? formatSettingsError(checked.extract()) : '';
}

describe('settings file', () => {
  it('fills in defaults', () => {
    const settings = checkSettingsText(
      'entry.toml',
      VALID_SETTINGS,
      entrySettingsSchema,
    ).unsafeCoerce();
    expect(settings.timing.leaseMs).toBe(2_000);
    expect(settings.targets.user).toBe('bramleykeel');
  });

  const INVALID_SETTINGS: readonly [string, string, string][] = [
    ['broken TOML', '[entry', 'entry.toml: Invalid TOML'],
    [
      'an unknown key',
      VALID_SETTINGS.replace('zone =', 'zoen ='),
      'entry.zoen: unknown key; did you mean zone?',
    ],
    [
      'an unknown key below a default',
      `${VALID_SETTINGS}[timing]\nleaseM = 1`,
      'timing.leaseM: unknown key; did you mean leaseMs?',
    ],
    [
      'a host name as the address',
      VALID_SETTINGS.replace('127.0.0.1:2', 'localhost:2'),
      'entry.linkAddress: expected IP:PORT',
    ],
    ['a missing section', VALID_SETTINGS.replace(/\[link\][^[]*/, ''), 'link:'],
    ['a wrong type', `${VALID_SETTINGS}[timing]\nleaseMs = "long"`, 'timing.leaseMs:'],
  ];
  it.each(INVALID_SETTINGS)(
    'reports file, key and expected value for %s',
    (_name, text, expected) => {
      expect(problemOf(text)).toContain(expected);
    },
  );
});
