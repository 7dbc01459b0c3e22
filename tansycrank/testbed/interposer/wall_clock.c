/* A shared library for LD_PRELOAD: the wall clock of one process, moved by the offset that a file holds.
 *
 * WALL_CLOCK_FILE names a file of at least eight bytes: a signed 64-bit number of nanoseconds, native byte
 * order, added to every reading of the wall clock. Whoever writes the file steps the clock. Monotonic clocks
 * and time-outs of system calls are left as they are, as when a real wall clock is stepped.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS 1000000000LL

static volatile int64_t *shared_offset;
static int (*system_clock_gettime)(clockid_t, struct timespec *);

__attribute__((constructor)) static void open_offset(void)
{
    system_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    const char *path = getenv("WALL_CLOCK_FILE");
    if (!path)
        return;
    int file = open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof *shared_offset, PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        shared_offset = mapped;
}

static int64_t wall_nanoseconds(void)
{
    struct timespec now;
    system_clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * NANOSECONDS + now.tv_nsec + (shared_offset ? *shared_offset : 0);
}

int clock_gettime(clockid_t clock, struct timespec *result)
{
    if (!system_clock_gettime)
        system_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    if (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)
        return system_clock_gettime(clock, result);
    int64_t now = wall_nanoseconds();
    result->tv_sec = now / NANOSECONDS;
    result->tv_nsec = now % NANOSECONDS;
    return 0;
}

int gettimeofday(struct timeval *restrict result, void *restrict zone)
{
    (void)zone;
    int64_t now = wall_nanoseconds();
    result->tv_sec = now / NANOSECONDS;
    result->tv_usec = now % NANOSECONDS / 1000;
    return 0;
}

time_t time(time_t *result)
{
    time_t now = wall_nanoseconds() / NANOSECONDS;
    if (result)
        *result = now;
    return now;
}
