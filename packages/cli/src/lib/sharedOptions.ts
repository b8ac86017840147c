import { Option } from 'clipanion';
import { getRequiredOption } from './getRequiredOption.js';

/** Creates the option for the path of the register. */
export const createRegisterOption = () =>
  Option.String('--register', 'register.jsonc', {
    description: 'The path of the register; register.jsonc by default.',
  });

/** Creates the option for the path of the rules. */
export const createRulesOption = () =>
  Option.String('--rules', 'rules.jsonc', {
    description: 'The path of the rules; rules.jsonc by default.',
  });

/** Creates the option for the daemons to query. */
export const createDaemonOption = () =>
  Option.Array('--daemon', {
    description:
      'The admin address of a daemon, such as 127.0.0.1:8082; may be repeated: the first that answers is used.',
  });

/** Returns the given daemons. @throws UsageError if there is none */
export function getDaemons(daemons: string[] | undefined): string[] {
  return getRequiredOption(daemons, '--daemon', 'give the admin address of at least one daemon');
}
