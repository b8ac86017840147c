import { Option } from 'clipanion';
import { getRequired } from './getRequired.js';

/** The option that names the register's file. */
export const createRegisterOption = () =>
  Option.String('--register', 'register.jsonc', {
    description: 'The file of the register; register.jsonc by default.',
  });

/** The option that names the rules' file. */
export const createRulesOption = () =>
  Option.String('--rules', 'rules.jsonc', {
    description: 'The file of the rules; rules.jsonc by default.',
  });

/** The option that names daemons to ask. */
export const createDaemonOption = () =>
  Option.Array('--daemon', {
    description:
      'The admin address of a daemon, such as 127.0.0.1:8082; may be repeated: the first that answers is asked.',
  });

/** The daemons named. @throws UsageError when none is */
export function getDaemons(daemons: string[] | undefined): string[] {
  return getRequired(daemons, '--daemon', 'name the admin address of at least one daemon');
}
