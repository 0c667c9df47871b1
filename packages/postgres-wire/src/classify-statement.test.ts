import { beforeAll, describe, expect, it } from 'vitest';
import { classifyQuery } from './classify-statement.js';
import { loadParser } from './syntax.js';

beforeAll(loadParser);

// Guards against UNASKED: with these settings a server reads quotes in another way than the parser here, and takes a part
// of what is a string here for a statement, for example one that sets the role.
describe('a setting that changes where a string ends', () => {
  it.each([
    'SET standard_conforming_strings = off',
    'SET LOCAL standard_conforming_strings TO off',
    "SET SESSION standard_conforming_strings = '0'",
    "SET client_encoding = 'SJIS'",
    "SET NAMES 'GBK'",
    'SET LOCAL client_encoding TO big5',
  ])('is not supported: %s', (text) => {
    expect(classifyQuery(text).statements).toMatchObject([{ kind: 'unsupported' }]);
  });

  it.each([
    'SET standard_conforming_strings = on',
    "SET client_encoding = 'UTF8'",
    "SET NAMES 'utf-8'",
    'RESET client_encoding',
    'SET client_encoding TO DEFAULT',
  ])('is supported with the value that the parser has: %s', (text) => {
    expect(classifyQuery(text).statements).not.toMatchObject([{ kind: 'unsupported' }]);
  });
});
