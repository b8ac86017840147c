import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fetchMembers } from './fetchMembers.js';

const TIMEOUT = 5000;

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

describe('fetchMembers', () => {
  const list = { self: 'daemon-1', generation: 4, members: [] };
  let answer: { status: number; body: string };
  const server = createServer((request, response) => {
    response.statusCode = request.url === '/admin/members' ? answer.status : 404;
    response.end(answer.body);
  });
  let address: string;

  beforeAll(async () => {
    address = await listen(server);
  });

  afterAll(() => server.close());

  it('returns the member list of the daemon', async () => {
    answer = { status: 200, body: JSON.stringify(list) };
    expect(await fetchMembers(address, TIMEOUT)).toEqual(list);
  });

  it.each([
    [503, JSON.stringify(list)],
    [200, '{"self":1}'],
    [200, 'not JSON'],
  ])('fails with the step and the daemon if the answer is %s %s', async (status, body) => {
    answer = { status, body };
    await expect(fetchMembers(address, TIMEOUT)).rejects.toMatchObject({
      name: 'DaemonUnavailableError',
      step: 'ask members',
      peer: address,
    });
  });
});
