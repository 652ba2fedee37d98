/**
 * @file
 * Limits of what a process uses of its machine, from its settings.
 */
#ifndef BASE_PROCESS_LIMITS_H
#define BASE_PROCESS_LIMITS_H

#define PROCESS_MIN_MEMORY_MB 16
#define PROCESS_DEFAULT_MEMORY_MB 256
#define PROCESS_MIN_DESCRIPTORS 64
#define PROCESS_DEFAULT_DESCRIPTORS 4096

#endif
