import { readFile, mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MANIFEST_KEY } from '@apricotrill/configuration';
import { getApiKeyHash } from '@apricotrill/model';
import { MemoryPlatformStore, StoreUnavailableError } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import { FILES, createOpenStore, createRunCli, getExample } from '../../test/runCli.js';
import { ExitCode } from '../../index.js';
import { COMMANDS } from '../createCli.js';
import { DaemonUnavailableError } from '../daemons/DaemonUnavailableError.js';
import type { MemberList } from '../daemons/MemberList.js';

/** The example's files with one replacement in the register. */
async function createEdit(from: string, to: string): Promise<string[]> {
  const text = await readFile(getExample('register.jsonc'), 'utf8');
  expect(text).toContain(from);
  const file = join(await mkdtemp(join(tmpdir(), 'apricotrill-')), 'register.jsonc');
  await writeFile(file, text.replace(from, to));
  return ['--register', file, '--rules', getExample('rules.jsonc')];
}

/** A store that gives no answer any more once the manifest was written. */
class SilencedStore extends MemoryPlatformStore {
  override async put(key: string, value: string, expectedVersion: number) {
    const outcome = await super.put(key, value, expectedVersion);
    if (key === MANIFEST_KEY) {
      this.applyFault({ kind: 'down' });
      throw new StoreUnavailableError('no answer', { step: 'store-put', peer: 'memory' });
    }
    return outcome;
  }
}

function createMembers(...generations: number[]): MemberList {
  const members = generations.map((generation, index) => ({
    id: `daemon-${index + 1}`,
    availabilityZone: 'espoo',
    state: 'alive',
    generation,
  }));
  return { self: 'daemon-1', generation: generations[0]!, members };
}

describe('apricotrill', () => {
  it.each(COMMANDS.map((command) => [command.paths.join(' ').replace(',', ' '), command] as const))(
    '%s explains itself',
    async (path, command) => {
      const { description, details, examples } = command.usage;
      expect({ description, details, examples }).toEqual({
        description: expect.any(String),
        details: expect.any(String),
        examples: expect.arrayContaining([expect.any(Array)]),
      });
      const { run } = createRunCli();
      expect((await run(...path.split(' '), '--help')).output).toContain('--json');
    },
  );

  it('names the line, the reason and what would be right in a refused file', async () => {
    const { run } = createRunCli();
    const files = await createEdit('"port": 9102', '"port": 91020');
    const { exitCode, errors } = await run('validate', ...files);
    expect(exitCode).toBe(ExitCode.Refused);
    expect(errors).toMatch(
      /register\.jsonc:29:15: replicas\[1\]\.port: 91020 is not valid; expected whole number, 1 to 65535/,
    );
    const json = await run('validate', '--json', ...files);
    expect(JSON.parse(json.output).error.diagnostics).toMatchObject([{ line: 29, column: 15 }]);
  });

  it('shows what would change, and has it accepted against the base it names', async () => {
    const { run } = createRunCli();
    expect((await run('diff', ...FILES)).exitCode).toBe(ExitCode.Different);
    expect((await run('apply', '--base', '0', ...FILES)).exitCode).toBe(ExitCode.Done);
    expect((await run('diff', ...FILES)).exitCode).toBe(ExitCode.Done);
    const files = await createEdit('"weight": 2', '"weight": 3');
    const { output } = await run('diff', ...files);
    expect(output).toMatch(
      /~ workspaces offset-turku\n {4}weight: 2 → 3\nto accept this: apply --base 1\n/,
    );
    expect((await run('apply', '--base', '1', ...files)).output).toContain('generation 2 ');
    expect((await run('apply', '--base', '2', ...files)).output).toContain('nothing to apply');
    expect((await run('history')).output.match(/ bo /g)).toHaveLength(2);
    expect((await run('show', 'register', '--generation', '1')).output).not.toContain(
      '"weight": 3',
    );
  });

  // Symptom: a change is accepted twice. Sequence: the confirmation is lost and the store goes
  // silent; the operator, told nothing, runs the same command again. Cause: the second run is taken
  // for another change.
  it('takes the same command run again for the same change', async () => {
    const platform = new SilencedStore({ clock: new ManualClock() });
    const { run } = createRunCli({ openStore: () => createOpenStore(platform) });
    const first = await run('apply', '--base', '0', '--timeout', '1000', ...FILES);
    expect(first.exitCode).toBe(ExitCode.Unavailable);
    expect(first.output).toMatch(/change \w+ may be accepted; run the same command again/);
    platform.applyFault({ kind: 'up' });
    const again = await run('apply', '--base', '0', ...FILES);
    expect(again).toMatchObject({ exitCode: ExitCode.Done });
    expect(again.output).toContain('accepted: generation 1 ');
  });

  it('says that nothing was applied when the store never answered', async () => {
    const { platform, run } = createRunCli();
    platform.applyFault({ kind: 'down' });
    const { exitCode, output } = await run('apply', '--base', '0', ...FILES);
    expect(exitCode).toBe(ExitCode.Unavailable);
    expect(output).toContain('nothing was applied');
  });

  // Symptom: an operator's edit is gone. Sequence: two operators edit generation 1; the second
  // applies after the first. Cause: the files are taken as a whole without looking at their base.
  it('shows the loser of a race both sides and applies nothing', async () => {
    const { run } = createRunCli();
    await run('apply', '--base', '0', ...FILES);
    await run('apply', '--base', '1', '--author', 'ana', ...(await createEdit('9101', '9111')));
    const mine = await createEdit('"weight": 2', '"weight": 3');
    const { exitCode, output } = await run('apply', '--base', '1', ...mine);
    expect(exitCode).toBe(ExitCode.Conflict);
    expect(output).toMatch(
      /by ana.*theirs, .*replicas kielimalli-1\n.*yours, .*workspaces offset-turku/s,
    );
    expect((await run('history')).output.match(/ bo /g)).toHaveLength(1);
  });

  it('tells how far the accepted version is in force', async () => {
    const askMembers = () => Promise.resolve(createMembers(1, 0, 1));
    const { platform, run } = createRunCli({ askMembers });
    await run('apply', '--base', '0', ...FILES);
    const status = await run('status', '--daemon', '127.0.0.1:8082');
    expect(status.exitCode).toBe(ExitCode.NotInForce);
    expect(status.output).toContain('in force at 2 of 3 live daemons');
    platform.applyFault({ kind: 'down' });
    const blind = await run('status', '--daemon', '127.0.0.1:8082');
    expect(blind.exitCode).toBe(ExitCode.Unavailable);
    expect(blind.output).toMatch(/^accepted: unknown/);
  });

  // Symptom: a change that is in force everywhere is reported as unfinished for minutes. Sequence:
  // the daemon that is asked has not heard from one of the others since the change. Cause: its word
  // is taken for all, though it hears from few at once. One that gives no answer counts as behind.
  it('asks the daemons that seem to be behind themselves', async () => {
    const list = createMembers(1, 0, 0);
    const members = list.members.map((member) => ({ ...member, adminAddress: member.id }));
    const askMembers = (address: string) => {
      if (address === 'daemon-3') {
        return Promise.reject(new DaemonUnavailableError('-', { step: 'ask', peer: address }));
      }
      return Promise.resolve({ self: address, generation: 1, members });
    };
    const { run } = createRunCli({ askMembers });
    await run('apply', '--base', '0', ...FILES);
    const { exitCode, output } = await run('status', '--daemon', 'daemon-1');
    expect(exitCode).toBe(ExitCode.NotInForce);
    expect(output).toContain('in force at 2 of 3 live daemons');
    expect(output).toMatch(/daemon-3 .* 0 +1\n/);
  });

  it('waits until every daemon has the change in force, whichever daemon answers', async () => {
    const answers = [createMembers(0, 0), createMembers(1, 0), createMembers(1, 1)];
    const askMembers = (address: string) =>
      address === '127.0.0.1:1'
        ? Promise.reject(new DaemonUnavailableError('refused', { step: 'ask', peer: address }))
        : Promise.resolve(answers.shift()!);
    const { run } = createRunCli({ askMembers });
    const daemons = ['--daemon', '127.0.0.1:1', '--daemon', '127.0.0.1:2'];
    const { exitCode, output } = await run('apply', '--base', '0', '--wait', ...daemons, ...FILES);
    expect(output).toContain('generation 1 is in force at 2 of 2 live daemons');
    expect({ exitCode, left: answers }).toEqual({ exitCode: ExitCode.Done, left: [] });
  });

  it('does not apply before it knows whom to wait for', async () => {
    const { run } = createRunCli();
    const { exitCode } = await run('apply', '--base', '0', '--wait', ...FILES);
    expect(exitCode).toBe(ExitCode.Usage);
    expect((await run('history')).output).toContain('nothing is accepted yet');
  });

  it('makes keys whose hash is the one printed', async () => {
    const { run } = createRunCli();
    const { key, hash } = JSON.parse((await run('key', 'create', '--json')).output);
    expect(hash).toBe(getApiKeyHash(key));
  });

  it('explains the class of a request', async () => {
    const { run } = createRunCli();
    const request = ['--service', 'jasenportaali', '--workspace', 'painola'];
    const post = await run('explain', ...request, '--method', 'post', '--path', '/holds', ...FILES);
    expect(post.output).toMatch(/classRules\[0\].*method is not "GET"\nclassRules\[1\] matches/);
    const none = ['--service', 'other', '--workspace', 'painola'];
    expect((await run('explain', ...none, ...FILES)).exitCode).toBe(ExitCode.NoClass);
  });
});
