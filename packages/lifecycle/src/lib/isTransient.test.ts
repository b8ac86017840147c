import { createServer } from 'node:net';
import { isTransient } from './isTransient.js';
import { listenOn } from './listenOn.js';

const getError = (promise: Promise<unknown>) =>
  promise.then(
    () => undefined,
    (error: unknown) => error,
  );

describe('isTransient', () => {
  // Guards against a start that ends for what the system refuses for a moment.
  it.each([
    'EACCES',
    'EADDRINUSE',
    'EADDRNOTAVAIL',
    'EAFNOSUPPORT',
    'EAGAIN',
    'EHOSTUNREACH',
    'EINTR',
    'EINVAL',
    'EMFILE',
    'ENETDOWN',
    'ENETUNREACH',
    'ENFILE',
    'ENOBUFS',
    'ENOMEM',
    'EPERM',
  ])('is true for %s', (code) => {
    expect(isTransient(Object.assign(new Error(code), { code }))).toBe(true);
  });

  it('is true for an address that is not there', async () => {
    expect(isTransient(await getError(listenOn(createServer(), '192.0.2.1', 80)))).toBe(true);
  });

  it('is false for what follows from the address alone, and for errors of the program', async () => {
    const badPort = await getError(listenOn(createServer(), '127.0.0.1', 70_000));
    expect(badPort).toMatchObject({ code: 'ERR_SOCKET_BAD_PORT' });
    const unknownHost = Object.assign(new Error('no host'), { code: 'ENOTFOUND' });
    [badPort, unknownHost, new TypeError('x'), 'EACCES', { code: 13 }, undefined].forEach((error) =>
      expect(isTransient(error)).toBe(false),
    );
  });
});
