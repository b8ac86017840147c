import { ExitCode } from '@apricotrill/cli';
import { Fleet } from '../test/Fleet.js';
import type { ConfigurationFiles } from '../test/Fleet.js';
import { runOperator } from '../test/runOperator.js';

/** An edit that touches one workspace and nothing else. */
function setWeight({ register }: ConfigurationFiles, weight: number): void {
  Object.assign(register.workspaces[0]!, { weight });
}

describe('changes that operators make, with real daemons', () => {
  const fleet = new Fleet();

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.backends.startBackend('portal');
    await fleet.start(3);
  });

  afterAll(() => fleet.dispose());

  /** The accepted generation, by the operators' command line. */
  async function getAccepted(): Promise<number> {
    const { output } = await fleet.runCommand('history', '--json');
    const { changes } = JSON.parse(output) as { changes: { generation: number }[] };
    return changes[0]!.generation;
  }

  async function writeEdit(weight: number): Promise<string[]> {
    const files = fleet.getFiles();
    setWeight(files, weight);
    return fleet.writeFiles(files);
  }

  it('puts an accepted change in force at all daemons, as apply, status and members tell', async () => {
    const base = await getAccepted();
    const daemons = fleet.getDaemonOptions();
    const edit = await writeEdit(2);
    const different = await fleet.runCommand('diff', ...edit);
    expect(different.code).toBe(ExitCode.Different);
    expect(different.output).toContain('workspaces painotalo');
    expect(different.output).toContain(`apply --base ${base}`);

    const applied = await fleet.runCommand(
      'apply',
      '--base',
      String(base),
      '--wait',
      ...daemons,
      ...edit,
    );
    expect(applied.output).toContain(`generation ${base + 1} is in force at 3 of 3 live daemons`);
    expect(applied.code).toBe(ExitCode.Done);
    await Promise.all(fleet.daemons.map((daemon) => daemon.waitForGeneration(base + 1)));

    expect((await fleet.runCommand('diff', ...edit)).code).toBe(ExitCode.Done);
    const status = await fleet.runCommand('status', ...daemons);
    expect(status).toMatchObject({ code: ExitCode.Done });
    expect(status.output).toContain('in force at 3 of 3 live daemons');
    const members = await runOperator(['members', ...daemons]);
    expect(members.code).toBe(ExitCode.Done);
    fleet.daemons.forEach(({ id, availabilityZone }) => {
      expect(members.output).toMatch(new RegExp(`${id} +${availabilityZone} +alive +\\d{4}-`));
    });
  });

  // Symptom: an operator's edit is gone. Sequence: two operators edit the same generation and apply
  // at the same moment. Cause: the later one writes over the earlier one.
  it('lets one of two racing operators win and shows the other both sides', async () => {
    const base = String(await getAccepted());
    const [ana, bo] = [await writeEdit(3), await writeEdit(4)];
    const results = await Promise.all([
      fleet.runCommand('apply', '--base', base, '--author', 'ana', ...ana),
      fleet.runCommand('apply', '--base', base, '--author', 'bo', ...bo),
    ]);
    expect(results.map(({ code }) => code).sort()).toEqual([ExitCode.Done, ExitCode.Conflict]);
    const winner = results[0].code === ExitCode.Done ? 'ana' : 'bo';
    const loser = results.find(({ code }) => code === ExitCode.Conflict)!;
    const [theirs, mine] = winner === 'ana' ? [3, 4] : [4, 3];
    expect(loser.output).toContain(`by ${winner}`);
    expect(loser.output).toMatch(
      new RegExp(`theirs, since the base:.*weight.*${theirs}.*yours, since.*weight.*${mine}`, 's'),
    );
    expect(loser.output).toContain('touched by both: workspaces painotalo');
    const shown = await fleet.runCommand('show', 'register');
    expect(JSON.parse(shown.output)).toMatchObject({ workspaces: [{ weight: theirs }] });
    expect(await getAccepted()).toBe(Number(base) + 1);
  });

  // Symptom: a change is reported as refused or lost although it is in force, or is accepted twice.
  // Sequence: the store takes the update of the manifest and the connection breaks before the
  // answer; the client asks again and meets its own update. Cause: a conflict with one's own change
  // taken for somebody else's.
  it('finds its own change when the confirmation was lost', async () => {
    const base = await getAccepted();
    const edit = await writeEdit(5);
    const lost = { kind: 'lose-answers', count: 1, keyPrefix: 'config/manifest' } as const;
    await fleet.platform.injectFault(lost);
    const wait = ['--wait', ...fleet.getDaemonOptions()];
    const applied = await fleet.runCommand('apply', '--base', String(base), ...wait, ...edit);
    expect(applied.code).toBe(ExitCode.Done);
    expect(await getAccepted()).toBe(base + 1);
    const again = await fleet.runCommand('apply', '--base', String(base), ...edit);
    expect(again.code).toBe(ExitCode.Done);
    expect(await getAccepted()).toBe(base + 1);
  });
});
