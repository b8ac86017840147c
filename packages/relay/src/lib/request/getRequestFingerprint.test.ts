import { getRequestFingerprint } from './getRequestFingerprint.js';
import type { RequestContent } from './getRequestFingerprint.js';

const CONTENT: RequestContent = {
  method: 'POST',
  host: 'a.example',
  target: '/chat/1?x=1',
  caller: 'shop',
  body: Buffer.from('the body'),
};

describe('getRequestFingerprint', () => {
  it('is identical for identical content', () => {
    const copy = { ...CONTENT, body: Buffer.from('the body') };
    expect(getRequestFingerprint(copy)).toBe(getRequestFingerprint(CONTENT));
    expect(getRequestFingerprint(CONTENT)).toMatch(/^[\w-]{16}$/);
  });

  it.each<[string, Partial<RequestContent>]>([
    ['method', { method: 'GET' }],
    ['host', { host: 'b.example' }],
    ['path', { target: '/chat/2?x=1' }],
    ['query', { target: '/chat/1?x=2' }],
    ['caller', { caller: 'other' }],
    ['body', { body: Buffer.from('the bodY') }],
    ['presence of a body', { body: undefined }],
  ])('depends on the %s', (_name, override) => {
    const fingerprint = getRequestFingerprint({ ...CONTENT, ...override });
    expect(fingerprint).not.toBe(getRequestFingerprint(CONTENT));
  });
});
