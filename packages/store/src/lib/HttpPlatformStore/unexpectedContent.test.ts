import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { HttpInstanceList } from '../HttpInstanceList/HttpInstanceList.js';
import { StoreUnavailableError } from '../PlatformStore.js';
import { HttpPlatformStore } from './HttpPlatformStore.js';

describe('a client of the platform', () => {
  let server: Server;
  let content: string;
  let url: string;

  beforeEach(async () => {
    server = createServer((_request, response) => response.end(content));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  // Guards against the end of the process: an intermediary answered, and what is no list was used as one.
  it.each(['{}', 'null', '[]', '{"changes":3,"objects":3,"instances":3}', '{"changes":[null]}'])(
    'takes %s for no response',
    async (text) => {
      content = text;
      const store = new HttpPlatformStore({ url, timeout: 5_000 });
      const list = new HttpInstanceList({ url, timeout: 5_000 });
      await expect(store.watch('a', 0)).rejects.toBeInstanceOf(StoreUnavailableError);
      await expect(store.list('a')).rejects.toBeInstanceOf(StoreUnavailableError);
      await expect(list.getInstances()).rejects.toBeInstanceOf(StoreUnavailableError);
      await Promise.all([store.dispose(), list.dispose()]);
    },
  );
});
