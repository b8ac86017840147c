import type { Manifest } from '@apricotrill/configuration';
import { StoreUnavailableError } from '@apricotrill/store';
import { Command } from 'clipanion';
import { fetchMembersFromAny } from '../daemons/fetchMembersFromAny.js';
import { refreshLaggingMembers } from '../daemons/refreshLaggingMembers.js';
import { getLiveMembers } from '../daemons/MemberList.js';
import { ExitCode } from '../ExitCode.js';
import { createDaemonOption, getDaemons } from '../sharedOptions.js';
import type { Report } from '../Report.js';
import { StoreCommand } from '../StoreCommand.js';
import { formatChange } from '../text/formatChange.js';
import { getRolloutReport } from './getRolloutReport.js';

/** The accepted manifest, or the error that occurred while reading it. */
interface AcceptedState {
  manifest?: Manifest;
  error?: StoreUnavailableError;
}

/** `apricotrill status` */
export class StatusCommand extends StoreCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'show at which daemons the accepted generation is in force',
    details: `
      Reads the accepted generation from the store and the list of live daemons from one of them. It
      then queries each daemon at which the generation is not known to be in force. If the store
      does not answer, the highest generation in force at any daemon is used instead, and the exit
      status is 4.

      Exit status: 0 in force at every live daemon, 4 no answer from the store or from any of the
      given daemons, 5 not in force everywhere yet.
    `,
    examples: [
      [
        'Use the first daemon that answers',
        '$0 status --daemon 10.0.0.1:8082 --daemon 10.0.0.2:8082',
      ],
    ],
  });

  daemon = createDaemonOption();

  protected async run(): Promise<Report> {
    const [accepted, answer] = await Promise.all([
      this.readAccepted(),
      fetchMembersFromAny(this.context, getDaemons(this.daemon), Number(this.callTimeout)),
    ]);
    const { manifest, error } = accepted;
    const isUnknown = error !== undefined;
    const acceptedGeneration = isUnknown ? Number.POSITIVE_INFINITY : (manifest?.generation ?? 0);
    const refreshed = await refreshLaggingMembers(
      this.context,
      answer,
      acceptedGeneration,
      Number(this.callTimeout),
    );
    const highest = Math.max(...getLiveMembers(refreshed.list).map(({ generation }) => generation));
    const report = getRolloutReport(refreshed, isUnknown ? highest : acceptedGeneration);
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
