/** The daemons as a library, for programs that start them in-process. */
export { startControl, initializeControl } from '@bramleykeel/control';
export { startEntry } from '@bramleykeel/entry';
