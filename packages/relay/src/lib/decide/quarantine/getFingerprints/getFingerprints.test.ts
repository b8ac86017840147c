import { createPrompt } from '../../../../test/fixtures.js';
import { quarantineOptions } from '../quarantineOptions.js';
import { getFingerprints, isPartFingerprint } from './getFingerprints.js';

function get(parts: string[], service = 'llm'): string[] {
  const prompt = createPrompt(parts.map((part) => [part, 10]));
  return getFingerprints({ fingerprint: 'f', service, prompt });
}

describe('getFingerprints', () => {
  it('covers the request and each part of its prompt but the last', () => {
    const [first, second, ...rest] = get(['a', 'b', 'c']);
    expect(rest).toEqual(['f']);
    expect(get(['b', 'a', 'x'])).toEqual([second, first, 'f']);
    expect([first, second, 'f'].map((name) => isPartFingerprint(name!))).toEqual([
      true,
      true,
      false,
    ]);
  });

  it('covers the request only if its prompt has one part or it has no prompt', () => {
    expect(get(['a'])).toEqual(['f']);
    expect(getFingerprints({ fingerprint: 'f', service: 'llm', prompt: undefined })).toEqual(['f']);
  });

  it('distinguishes the same part at two services', () => {
    expect(get(['a', 'b'], 'other')[0]).not.toBe(get(['a', 'b'])[0]);
  });

  it('covers a limited number of parts, each once', () => {
    const { maxPartsPerRequest } = quarantineOptions;
    const many = Array.from({ length: maxPartsPerRequest * 2 }, (_item, index) => `p-${index}`);
    expect(get(many)).toHaveLength(maxPartsPerRequest + 1);
    expect(get(['a', 'a', 'b'])).toHaveLength(2);
  });
});
