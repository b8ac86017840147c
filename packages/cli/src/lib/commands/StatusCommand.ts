import type { Manifest } from '@apricotrill/configuration';
import { StoreUnavailableError } from '@apricotrill/store';
import { Command } from 'clipanion';
import { askAnyDaemon } from '../daemons/fetchMembersFromAny.js';
import { askBehind } from '../daemons/refreshLaggingMembers.js';
import { getLiveMembers } from '../daemons/MemberList.js';
import { ExitCode } from '../ExitCode.js';
import { createDaemonOption, getDaemons } from '../sharedOptions.js';
import type { Report } from '../Report.js';
import { StoreCommand } from '../StoreCommand.js';
import { formatChange } from '../text/formatChange.js';
import { getSpreadReport } from './getRolloutReport.js';

/** The accepted manifest, or why it could not be read. */
interface AcceptedState {
  manifest?: Manifest;
  error?: StoreUnavailableError;
}

/** `apricotrill status` */
export class StatusCommand extends StoreCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'show how far the accepted version is in force, daemon by daemon',
    details: `
      Reads which generation is accepted, asks one daemon who is alive, and asks each daemon that it
      does not know to have that generation in force itself. While the store gives no answer, the highest generation that any daemon
      has in force stands in for the accepted one, and the status is 4.

      Exit status: 0 in force at every live daemon, 5 not yet, 4 no answer from the store or from
      any of the daemons named.
    `,
    examples: [
      [
        'Ask the first daemon that answers',
        '$0 status --daemon 10.0.0.1:8082 --daemon 10.0.0.2:8082',
      ],
    ],
  });

  daemon = createDaemonOption();

  protected async run(): Promise<Report> {
    const [accepted, asked] = await Promise.all([
      this.readAccepted(),
      askAnyDaemon(this.context, getDaemons(this.daemon), Number(this.callTimeout)),
    ]);
    const { manifest, error } = accepted;
    const isUnknown = error !== undefined;
    const wanted = isUnknown ? Number.POSITIVE_INFINITY : (manifest?.generation ?? 0);
    const told = await askBehind(this.context, asked, wanted, Number(this.callTimeout));
    const highest = Math.max(...getLiveMembers(told.list).map(({ generation }) => generation));
    const report = getSpreadReport(told, isUnknown ? highest : wanted);
    const heading = manifest === undefined ? 'nothing is accepted yet' : formatChange(manifest);
    return {
      exitCode: isUnknown ? ExitCode.Unavailable : report.exitCode,
      lines: [
        isUnknown ? `accepted: unknown, ${error.message}` : `accepted: ${heading}`,
        ...report.lines,
      ],
      value: { accepted: manifest ?? null, storeError: error?.message, spread: report.value },
    };
  }

  private async readAccepted(): Promise<AcceptedState> {
    try {
      return { manifest: await this.useStore((store) => store.readManifest()) };
    } catch (error) {
      if (error instanceof StoreUnavailableError) {
        return { error };
      }
      throw error;
    }
  }
}
