// First, since a signal ends the process until its handler is bound.
import signalInbox from './process/signalInbox';
import runProgram from './runProgram';

const exitCode = await runProgram(signalInbox);
process.exit(exitCode);
